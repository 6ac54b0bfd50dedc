package io.samphiregauge.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiregauge.core.result.Result;
import io.samphiregauge.gateway.GroupMember;
import io.samphiregauge.gateway.port.AppendResult;
import io.samphiregauge.gateway.port.SharedStore;
import io.samphiregauge.net.NetFailure;
import io.samphiregauge.schema.PeerMessage;
import io.samphiregauge.schema.gateway.UsageRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Guards against a large group in which each entry calls the store for what one of them has read or
 * could write for all, and against entries that learn or write nothing when that one is silent.
 */
class SharedStoreCallsTest {
  private static final int ENTRIES = 28;
  private static final GroupMember READER = new GroupMember("vm-r", 1, "a", "r:1", "r:2");

  private final SimulatedTime time = new SimulatedTime();
  private final Map<String, BiConsumer<String, PeerMessage>> network = new TreeMap<>();
  private final List<Integer> batches = new ArrayList<>();
  private int memberReads;
  private boolean storeFails;

  private SharedStore store() {
    return new SharedStore(
        topic -> new CompletableFuture<>(),
        (topic, offset, waitMs) -> new CompletableFuture<>(),
        (topic, value, end) -> new CompletableFuture<>(),
        (topic, values, end) -> {
          batches.add(values.size());
          return respond(Result.success(new AppendResult.Appended(batches.size())));
        },
        (member, generation) -> new CompletableFuture<>(),
        member -> new CompletableFuture<>(),
        () -> {
          memberReads++;
          return respond(Result.success(List.of("m" + memberReads)));
        });
  }

  private <T> CompletableFuture<Result<T>> respond(Result<T> result) {
    CompletableFuture<Result<T>> call = new CompletableFuture<>();
    Result<T> answer =
        storeFails ? Result.failed(new NetFailure.NotConnected("store", "down")) : result;
    time.newVm().execute(4, () -> call.complete(answer));
    return call;
  }

  /** Connects an entry to the others; messages travel for 2 ms and to a missing one are lost. */
  private BiConsumer<String, PeerMessage> sender(String from) {
    return (to, message) ->
        time.newVm()
            .execute(
                2,
                () ->
                    Optional.ofNullable(network.get(to))
                        .ifPresent(receiver -> receiver.accept(from, message)));
  }

  private MemberExchange members(String address, Optional<GroupMember> reader) {
    MemberExchange exchange =
        new MemberExchange(time.newVm().newControlThread(), store(), () -> reader, () -> {});
    exchange.start(sender(address));
    network.put(address, exchange::onPeerMessage);
    return exchange;
  }

  private UsageExchange usage(String address, Optional<GroupMember> reader) {
    UsageExchange exchange =
        new UsageExchange(time.newVm().newControlThread(), store(), () -> reader, () -> {});
    exchange.start(sender(address));
    network.put(address, exchange::onPeerMessage);
    return exchange;
  }

  @Test
  void aReaderReadsTheMembersOnceForAGeneration() {
    members("r:2", Optional.empty());
    List<List<String>> results = new ArrayList<>();
    for (long generation : new long[] {5, 6}) {
      IntStream.range(0, ENTRIES)
          .forEach(i -> members("e" + i, Optional.of(READER)).read(generation, results::add));
      time.run(300);
      members("late" + generation, Optional.of(READER)).read(generation, results::add);
      time.run(300);
    }
    assertThat(results).hasSize(2 * ENTRIES + 2);
    assertThat(results.get(0)).containsExactly("m1");
    assertThat(results.get(results.size() - 1)).containsExactly("m2");
    assertThat(memberReads).isEqualTo(2);
  }

  @Test
  void aSilentReaderIsReplacedByTheStore() {
    List<List<String>> results = new ArrayList<>();
    members("e", Optional.of(READER)).read(5, results::add);
    time.run(1_000);
    assertThat(results).hasSize(1);
    List<Boolean> stored = new ArrayList<>();
    usage("e", Optional.of(READER)).write(new UsageRecord("vm", 1, List.of()), stored::add);
    time.run(1_000);
    assertThat(stored).containsExactly(true);
    assertThat(batches).containsExactly(1);
  }

  @Test
  void aReaderAppendsTheRecordsOfAllWithOneCall() {
    usage("r:2", Optional.empty());
    List<Boolean> stored = new ArrayList<>();
    IntStream.range(0, ENTRIES)
        .forEach(
            i ->
                usage("e" + i, Optional.of(READER))
                    .write(new UsageRecord("vm-" + i, 1, List.of()), stored::add));
    time.run(2_000);
    assertThat(stored).hasSize(ENTRIES).containsOnly(true);
    assertThat(batches).containsExactly(ENTRIES);
  }

  /** The reader has lost the store: the others find out whether they reach it. */
  @Test
  void recordsThatAReaderCouldNotWriteAreWrittenDirectly() {
    usage("r:2", Optional.empty());
    List<Boolean> stored = new ArrayList<>();
    storeFails = true;
    usage("e", Optional.of(READER)).write(new UsageRecord("vm", 1, List.of()), stored::add);
    time.run(500);
    storeFails = false;
    time.run(1_000);
    assertThat(stored).containsExactly(true);
    assertThat(batches).containsExactly(1, 1);
  }
}
