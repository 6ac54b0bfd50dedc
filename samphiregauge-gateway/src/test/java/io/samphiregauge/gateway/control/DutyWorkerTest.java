package io.samphiregauge.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiregauge.core.StorePosition;
import io.samphiregauge.core.fleet.DomainTarget;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.gateway.GroupMember;
import io.samphiregauge.gateway.port.AppendResult;
import io.samphiregauge.gateway.port.FleetApi;
import io.samphiregauge.gateway.port.ReadResult;
import io.samphiregauge.gateway.port.SharedStore;
import io.samphiregauge.gateway.port.StoreRecord;
import io.samphiregauge.gateway.port.Topic;
import io.samphiregauge.net.Codec;
import io.samphiregauge.net.NetFailure;
import io.samphiregauge.schema.gateway.DutyRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;

class DutyWorkerTest {
  private static final long LEASE_MS = 3_000;
  private static final long STORE_DELAY_MS = 4;
  private static final long WINDOW_MS = 5_000;

  private final SimulatedTime time = new SimulatedTime();
  private final List<PlatformCall> calls = new ArrayList<>();
  private final List<StoreRecord> register = new ArrayList<>();
  private long era;

  /** A call that the platform received. */
  private record PlatformCall(String vm, long token, long atMs) {}

  /**
   * Guards against a holder whose first renewal comes after its lease has ended. Its entry then
   * claimed the lease again and again, each time with a higher token.
   */
  @Test
  void holderOfHighRankRenewsItsFirstLeaseInTime() {
    startWorker("vm-9", time.newVm(), otherMembers(6));
    time.run(60_000);
    assertThat(calls).isNotEmpty().allMatch(call -> call.token() == calls.get(0).token());
  }

  /**
   * Guards against a holder that was suspended and whose monotonic clock did not count that time:
   * it sent calls after its successor had begun to send some with a higher token.
   */
  @Test
  void suspendedHolderSendsNothingAfterItsSuccessor() {
    SimulatedTime.Vm holder = time.newVm();
    startWorker("vm-0", holder, List.of(member("vm-1")));
    startWorker("vm-1", time.newVm(), List.of(member("vm-0")));
    for (int round = 0; round < 20; round++) {
      // Steps of 97 ms suspend the VM at another moment of its renewal period in each round.
      time.run(10_000 + 97L * round);
      holder.suspend(6_000);
      time.run(12_000);
    }
    assertThat(calls.stream().map(PlatformCall::vm).distinct()).hasSize(2);
    for (int i = 1; i < calls.size(); i++) {
      assertThat(calls.get(i).token())
          .as("token of %s after %s", calls.get(i), calls.get(i - 1))
          .isGreaterThanOrEqualTo(calls.get(i - 1).token());
    }
  }

  /**
   * Guards against two holders that send the same token, or take turns, after the store has come
   * back from a copy that lacks the claim of the second one.
   */
  @Test
  void restoredStoreDoesNotLetTwoHoldersActWithOneToken() {
    List<SimulatedTime.Vm> vms = List.of(time.newVm(), time.newVm(), time.newVm());
    for (int i = 0; i < vms.size(); i++) {
      startWorker("vm-" + i, vms.get(i), othersOf(i, vms.size()));
    }
    for (int round = 0; round < 20; round++) {
      // Steps of 97 ms take the copy and restore it at other moments of the renewals in each round.
      time.run(9_000 + 97L * round);
      List<StoreRecord> copy = List.copyOf(register);
      vms.get(round % vms.size()).suspend(7_000);
      time.run(5_500 + 61L * round);
      restore(copy);
    }
    time.run(20_000);
    assertThat(calls.stream().map(PlatformCall::vm).distinct()).hasSizeGreaterThan(1);
    for (int i = 1; i < calls.size(); i++) {
      PlatformCall call = calls.get(i);
      PlatformCall previous = calls.get(i - 1);
      assertThat(call.token())
          .as("%s after %s", call, previous)
          .isGreaterThanOrEqualTo(previous.token());
      assertThat(call.token() == previous.token() && !call.vm().equals(previous.vm()))
          .as("%s uses the token of %s", call, previous)
          .isFalse();
      for (int j = i - 1; j >= 0 && call.atMs() - calls.get(j).atMs() <= LEASE_MS; j--) {
        boolean turn = calls.get(j).vm().equals(call.vm()) && !previous.vm().equals(call.vm());
        assertThat(turn).as("%s after %s and %s", call, calls.get(j), previous).isFalse();
      }
    }
  }

  /** Guards against a second report of a window whose figures the store has lost. */
  @Test
  void windowsOfTheLastEraCountAsReportedAfterARestore() {
    startWorker("vm-0", time.newVm(), List.of());
    time.run(30_000);
    restore(List.of());
    time.run(10_000);
    DutyRecord current =
        Codec.json()
            .decode(register.get(0).value().orElseThrow(), DutyRecord.class)
            .value()
            .orElseThrow();
    assertThat(current.getReportedWindow())
        .isGreaterThanOrEqualTo((time.nowMs() - 10_000) / WINDOW_MS - 1);
    assertThat(current.getSealed()).isEmpty();
  }

  /** Replaces the register by an older copy, as a store does that lost its newest records. */
  private void restore(List<StoreRecord> copy) {
    register.clear();
    register.addAll(copy);
    era++;
  }

  private static List<GroupMember> othersOf(int self, int count) {
    List<GroupMember> members = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      if (i != self) {
        members.add(member("vm-" + i));
      }
    }
    return members;
  }

  /** Guards against reads that grow with the group, and against a slower claim in a small one. */
  @Test
  void entriesOfHighRankReadTheLeaseSeldom() {
    for (int rank = 0; rank <= 8; rank++) {
      assertThat(DutyWorker.pollPeriodMs(rank)).isEqualTo(1_200 + rank * 700L);
    }
    double readsPerS = 0;
    for (int rank = 0; rank < 560; rank++) {
      readsPerS += 1_000.0 / DutyWorker.pollPeriodMs(rank);
    }
    assertThat(readsPerS).isLessThan(15);
  }

  private static List<GroupMember> otherMembers(int count) {
    List<GroupMember> members = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      members.add(member("vm-" + i));
    }
    return members;
  }

  private static GroupMember member(String vm) {
    return new GroupMember(vm, 1, "domain-a", "127.0.0.1:1", "127.0.0.1:2");
  }

  private void startWorker(String name, SimulatedTime.Vm vm, List<GroupMember> others) {
    GroupMember self = member(name);
    ControlThread control = vm.newControlThread();
    StoreEraWatch storeEra = new StoreEraWatch(control);
    SharedStore store = storeEra.watch(store(vm, others));
    GroupFollower group = new GroupFollower(control, store, self, () -> {});
    group.start();
    FleetApi fleet =
        new FleetApi(
            (usage, credentials) -> callPlatform(vm, credentials),
            (order, credentials) -> callPlatform(vm, credentials));
    DomainTarget target = new DomainTarget("planner", "domain-a", false, 2, 0);
    DutyWorker worker =
        new DutyWorker(
            control,
            store,
            fleet,
            group,
            new UsageRecorder(
                control,
                new UsageExchange(control, store, Optional::empty, () -> {}),
                self,
                5_000,
                () -> 1,
                vm::now),
            // No servers appear, so the order is repeated all the time.
            new FleetOrders(
                control, fleet, () -> List.of(target), any -> 0, () -> vm.now().monotonicMs()),
            self,
            new DutyWorker.DutyTiming(LEASE_MS, WINDOW_MS, 10_000),
            vm::now);
    storeEra.addListener(worker::onStoreEra);
    // The worker learns its rank from the members.
    control.schedule(100, worker::start);
  }

  private CompletableFuture<Result<Boolean>> callPlatform(
      SimulatedTime.Vm vm, FleetApi.LeaseCredentials credentials) {
    return respond(
        vm,
        () -> {
          if (credentials.remainingMs().getAsLong() <= 0) {
            return Result.failed(new NetFailure.Withheld("platform"));
          }
          calls.add(new PlatformCall(credentials.holder(), credentials.token(), time.nowMs()));
          return Result.success(true);
        });
  }

  private SharedStore store(SimulatedTime.Vm vm, List<GroupMember> others) {
    return new SharedStore(
        topic -> respond(vm, () -> Result.success(readRegister())),
        (topic, offset, waitMs) ->
            respond(vm, () -> Result.success(new ReadResult.Records(List.of(), offset, era))),
        (topic, record, end) -> respond(vm, () -> Result.success(append(topic, record, end))),
        (topic, records, end) ->
            respond(vm, () -> Result.success(append(topic, records.get(0), end))),
        (member, generation) -> respond(vm, () -> Result.success(1L)),
        member -> respond(vm, () -> Result.success(0L)),
        () -> respond(vm, () -> Result.success(others.stream().map(GroupMember::encode).toList())));
  }

  private ReadResult.Records readRegister() {
    List<StoreRecord> newest =
        register.isEmpty() ? List.of() : List.of(register.get(register.size() - 1));
    return new ReadResult.Records(newest, register.size(), era);
  }

  private AppendResult append(Topic topic, StoreRecord record, OptionalLong expectedEnd) {
    if (topic != Topic.DUTY) {
      return new AppendResult.Appended(new StorePosition(era, 0));
    }
    if (expectedEnd.orElse(register.size()) != register.size()) {
      return new AppendResult.Conflict(registerEnd());
    }
    register.add(record);
    return new AppendResult.Appended(registerEnd());
  }

  private StorePosition registerEnd() {
    return new StorePosition(era, register.size());
  }

  /** Performs a call after half of the round trip, and responds after the other half. */
  private static <T> CompletableFuture<Result<T>> respond(
      SimulatedTime.Vm vm, Supplier<Result<T>> call) {
    CompletableFuture<Result<T>> future = new CompletableFuture<>();
    vm.execute(
        STORE_DELAY_MS / 2,
        () -> {
          Result<T> result = call.get();
          vm.execute(STORE_DELAY_MS / 2, () -> future.complete(result));
        });
    return future;
  }
}
