package io.samphiregauge.standins;

import io.netty.channel.EventLoopGroup;
import io.samphiregauge.net.Address;
import io.samphiregauge.schema.config.Backend;
import io.samphiregauge.schema.order.StartBackends;
import io.samphiregauge.schema.order.StopBackend;
import io.samphiregauge.schema.platform.OrderAnswer;
import io.samphiregauge.schema.platform.OrderRequest;
import io.samphiregauge.schema.platform.ReportStatus;
import io.samphiregauge.schema.platform.UsageReport;
import io.samphiregauge.schema.platform.UsageReportAnswer;
import io.samphiregauge.schema.platform.VmEntry;
import io.samphiregauge.schema.platform.VmKind;
import io.samphiregauge.schema.platform.VmList;
import io.samphiregauge.schema.platform.WeightsRequest;
import io.samphiregauge.schema.standin.PlatformFaults;
import io.samphiregauge.schema.standin.PlatformRecord;
import io.samphiregauge.schema.standin.Reclaim;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Stand-in of the platform: orders of backend servers, usage reports, the list of VMs, reclaim
 * notices and the weight store.
 *
 * <pre>{@code
 * PlatformStandin platform = PlatformStandin.start(loops, address, (order, name) -> Optional.empty());
 * platform.reclaim(new Reclaim("a", 5_000L));
 * }</pre>
 */
public final class PlatformStandin implements AutoCloseable {
  private static final long WEIGHTS_BYTES = 10_000_000_000L;
  private static final long WEIGHTS_BYTES_PER_SECOND = 5_000_000_000L;

  private final StandinServer server;
  private final BackendLauncher launcher;
  private final BackendOrders orders = new BackendOrders();
  private final UsageReports reports = new UsageReports();
  private final LaggingList list = new LaggingList();
  private final WeightStore weights = new WeightStore(WEIGHTS_BYTES_PER_SECOND);
  private final PlatformSwitches switches = new PlatformSwitches();
  private final Set<String> reclaimable = new HashSet<>();
  private int lastBackend;

  private PlatformStandin(EventLoopGroup loops, Address address, BackendLauncher launcher) {
    this.launcher = launcher;
    this.server = StandinServer.start("platform", loops, address, this::handle);
  }

  /**
   * Starts the stand-in.
   *
   * @param loops event loops; one of them will own the state
   * @param address address to bind
   * @param launcher starts ordered backend servers, on the owner of the state
   * @return the running stand-in
   */
  public static PlatformStandin start(
      EventLoopGroup loops, Address address, BackendLauncher launcher) {
    return new PlatformStandin(loops, address, launcher);
  }

  /** Returns the address that entries use. */
  public Address address() {
    return server.address();
  }

  /**
   * Sets faults; they are in force when the method returns.
   *
   * @param faults the faults
   */
  public void set(PlatformFaults faults) {
    server.ask(() -> switchOver(faults));
  }

  /**
   * Adds a VM to the list, or changes it.
   *
   * @param vm the VM
   */
  public void list(VmEntry vm) {
    server.run(() -> list.put(vm, StandinServer.nowMs()));
  }

  /**
   * Adds a backend server that the platform did not start itself, so that it can be reclaimed.
   *
   * @param backend the backend server
   */
  public void list(Backend backend) {
    server.run(() -> listBackend(backend));
  }

  /**
   * Takes a VM off the list.
   *
   * @param name name of the VM
   */
  public void unlist(String name) {
    server.run(() -> list.remove(name, StandinServer.nowMs()));
  }

  /**
   * Announces that the reclaimable backend servers of a failure domain will be taken away.
   *
   * @param reclaim failure domain and time
   */
  public void reclaim(Reclaim reclaim) {
    server.ask(() -> announce(reclaim));
  }

  /**
   * Returns what the platform has seen.
   *
   * @return orders and usage reports
   */
  public PlatformRecord record() {
    return server.ask(this::toRecord);
  }

  @Override
  public void close() {
    server.close();
  }

  private void handle(Call call) {
    switch (call.path()) {
      case "/v1/backend-orders" -> call.decode(OrderRequest.class, o -> order(call, o));
      case "/v1/usage-reports" -> call.decode(UsageReport.class, r -> report(call, r));
      case "/v1/vms" -> call.ok(list.answer(StandinServer.nowMs(), switches.listLagMs()));
      case "/v1/reclaim-notices" -> call.ok(new VmList(0L, leaving()));
      case "/v1/weights" -> call.decode(WeightsRequest.class, request -> transfer(call));
      case "/control/record" -> call.ok(toRecord());
      case "/control/faults" ->
          call.decode(PlatformFaults.class, faults -> call.ok(switchOver(faults)));
      case "/control/reclaim" -> call.decode(Reclaim.class, r -> call.ok(announce(r)));
      default -> call.notFound();
    }
  }

  private void order(Call call, OrderRequest request) {
    OrderAnswer answer = orders.receive(request, this::apply);
    if (switches.takeLostAnswer()) {
      call.sever();
      return;
    }
    call.ok(answer);
  }

  private Optional<List<Backend>> apply(OrderRequest request) {
    if (request.getOrder() instanceof StartBackends start) {
      return start(start);
    }
    if (request.getOrder() instanceof StopBackend stop) {
      list.remove(stop.getBackend(), StandinServer.nowMs());
      return Optional.of(List.of());
    }
    return Optional.empty();
  }

  private Optional<List<Backend>> start(StartBackends order) {
    if (order.isReclaimable() && switches.refusesReclaimable()) {
      return Optional.empty();
    }
    List<Backend> started = new ArrayList<>();
    for (int i = 0; i < order.getCount(); i++) {
      lastBackend++;
      String name = "ordered-%d".formatted(lastBackend);
      launcher.launch(order, name).ifPresent(started::add);
    }
    started.forEach(this::listBackend);
    return Optional.of(started).filter(list -> !list.isEmpty());
  }

  private void listBackend(Backend backend) {
    if (backend.isReclaimable()) {
      reclaimable.add(backend.getName());
    }
    VmEntry vm =
        new VmEntry(
            backend.getName(),
            backend.getAddress(),
            backend.getFailureDomain(),
            VmKind.BACKEND,
            false);
    list.put(vm, StandinServer.nowMs());
  }

  private void report(Call call, UsageReport report) {
    ReportStatus status = reports.receive(report, StandinServer.nowMs());
    if (switches.takeLostAnswer()) {
      call.sever();
      return;
    }
    call.ok(new UsageReportAnswer(status));
  }

  private void transfer(Call call) {
    WeightStore.Transfer transfer = weights.accept(WEIGHTS_BYTES, StandinServer.nowMs());
    server.runAfterMs(transfer.endsInMs(), () -> call.ok(transfer.answer()));
  }

  private String switchOver(PlatformFaults faults) {
    switches.set(faults);
    faults.getWeightsBytesPerSecond().ifPresent(weights::setBytesPerSecond);
    return "set";
  }

  private String announce(Reclaim reclaim) {
    for (VmEntry vm : list.current()) {
      if (vm.getFailureDomain().equals(reclaim.getFailureDomain())
          && reclaimable.contains(vm.getName())) {
        announce(vm, reclaim.getInMs());
      }
    }
    return "announced";
  }

  private void announce(VmEntry vm, long inMs) {
    VmEntry going =
        new VmEntry(vm.getName(), vm.getAddress(), vm.getFailureDomain(), vm.getKind(), true, inMs);
    list.put(going, StandinServer.nowMs());
    server.runAfterMs(inMs, () -> list.remove(vm.getName(), StandinServer.nowMs()));
  }

  private List<VmEntry> leaving() {
    return list.current().stream().filter(VmEntry::isLeaving).toList();
  }

  private PlatformRecord toRecord() {
    return new PlatformRecord(orders.received(), reports.received());
  }
}
