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
 * Stand-in for the platform: orders for backend servers, usage reports, the VM list, reclaim
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
  private final BackendOrderHandler orderHandler = new BackendOrderHandler();
  private final UsageReportHandler usageReportHandler = new UsageReportHandler();
  private final VmListHistory vmHistory = new VmListHistory();
  private final WeightStore weightStore = new WeightStore(WEIGHTS_BYTES_PER_SECOND);
  private final PlatformFaultState faultState = new PlatformFaultState();
  private final Set<String> reclaimableBackends = new HashSet<>();
  private int lastBackendNumber;

  private PlatformStandin(EventLoopGroup loops, Address address, BackendLauncher launcher) {
    this.launcher = launcher;
    this.server = StandinServer.start("platform", loops, address, this::handle);
  }

  /**
   * Starts the stand-in.
   *
   * @param loops event loops; one of them owns the state
   * @param address address to bind
   * @param launcher starts ordered backend servers; called on the event loop that owns the state
   * @return the running stand-in
   */
  public static PlatformStandin start(
      EventLoopGroup loops, Address address, BackendLauncher launcher) {
    return new PlatformStandin(loops, address, launcher);
  }

  /** Returns the bound address. */
  public Address address() {
    return server.address();
  }

  /**
   * Sets faults; they are in effect when the method returns.
   *
   * @param faults faults to change; absent ones keep their values
   */
  public void setFaults(PlatformFaults faults) {
    server.callAndWait(() -> applyFaults(faults));
  }

  /**
   * Adds a VM to the VM list, or replaces the one with the same name. Returns without waiting.
   *
   * @param vm VM as listed
   */
  public void addVm(VmEntry vm) {
    server.execute(() -> vmHistory.put(vm, StandinServer.nowMs()));
  }

  /**
   * Adds a backend server that the stand-in did not start to the VM list, so that it can be
   * reclaimed. Returns without waiting.
   *
   * @param backend backend server to list
   */
  public void addBackend(Backend backend) {
    server.execute(() -> addToList(backend));
  }

  /**
   * Removes a VM from the VM list. Returns without waiting.
   *
   * @param name name of the VM
   */
  public void removeVm(String name) {
    server.execute(() -> vmHistory.remove(name, StandinServer.nowMs()));
  }

  /**
   * Announces that the reclaimable backend servers of a failure domain will be reclaimed, and
   * removes them from the VM list at that time.
   *
   * @param reclaim failure domain, and milliseconds until the reclaim
   */
  public void reclaim(Reclaim reclaim) {
    server.callAndWait(() -> announceReclaim(reclaim));
  }

  /**
   * Returns the requests that the stand-in has received.
   *
   * @return orders and usage reports
   */
  public PlatformRecord record() {
    return server.callAndWait(this::toRecord);
  }

  @Override
  public void close() {
    server.close();
  }

  private void handle(HttpExchange exchange) {
    switch (exchange.path()) {
      case "/v1/backend-orders" ->
          exchange.decodeBody(OrderRequest.class, order -> handleOrder(exchange, order));
      case "/v1/usage-reports" ->
          exchange.decodeBody(UsageReport.class, report -> handleUsageReport(exchange, report));
      case "/v1/vms" ->
          exchange.respondOk(vmHistory.laggedList(StandinServer.nowMs(), faultState.listLagMs()));
      case "/v1/reclaim-notices" -> exchange.respondOk(new VmList(0L, leavingVms()));
      case "/v1/weights" ->
          exchange.decodeBody(WeightsRequest.class, request -> handleWeightTransfer(exchange));
      case "/control/record" -> exchange.respondOk(toRecord());
      case "/control/faults" ->
          exchange.decodeBody(
              PlatformFaults.class, faults -> exchange.respondOk(applyFaults(faults)));
      case "/control/reclaim" ->
          exchange.decodeBody(
              Reclaim.class, reclaim -> exchange.respondOk(announceReclaim(reclaim)));
      default -> exchange.respondNotFound();
    }
  }

  private void handleOrder(HttpExchange exchange, OrderRequest request) {
    OrderAnswer response = orderHandler.receive(request, this::applyOrder);
    if (faultState.consumeDroppedResponse()) {
      exchange.resetConnection();
      return;
    }
    exchange.respondOk(response);
  }

  private Optional<List<Backend>> applyOrder(OrderRequest request) {
    if (request.getOrder() instanceof StartBackends start) {
      return startBackends(start);
    }
    if (request.getOrder() instanceof StopBackend stop) {
      vmHistory.remove(stop.getBackend(), StandinServer.nowMs());
      return Optional.of(List.of());
    }
    return Optional.empty();
  }

  private Optional<List<Backend>> startBackends(StartBackends order) {
    if (order.isReclaimable() && faultState.refusesReclaimable()) {
      return Optional.empty();
    }
    List<Backend> started = new ArrayList<>();
    for (int i = 0; i < order.getCount(); i++) {
      lastBackendNumber++;
      String name = "ordered-%d".formatted(lastBackendNumber);
      launcher.launch(order, name).ifPresent(started::add);
    }
    started.forEach(this::addToList);
    return Optional.of(started).filter(backends -> !backends.isEmpty());
  }

  private void addToList(Backend backend) {
    if (backend.isReclaimable()) {
      reclaimableBackends.add(backend.getName());
    }
    VmEntry vm =
        new VmEntry(
            backend.getName(),
            backend.getAddress(),
            backend.getFailureDomain(),
            VmKind.BACKEND,
            false);
    vmHistory.put(vm, StandinServer.nowMs());
  }

  private void handleUsageReport(HttpExchange exchange, UsageReport report) {
    ReportStatus status = usageReportHandler.receive(report, StandinServer.nowMs());
    if (faultState.consumeDroppedResponse()) {
      exchange.resetConnection();
      return;
    }
    exchange.respondOk(new UsageReportAnswer(status));
  }

  private void handleWeightTransfer(HttpExchange exchange) {
    WeightStore.Transfer transfer = weightStore.queueTransfer(WEIGHTS_BYTES, StandinServer.nowMs());
    server.executeAfterMs(transfer.completesInMs(), () -> exchange.respondOk(transfer.response()));
  }

  private String applyFaults(PlatformFaults faults) {
    faultState.update(faults);
    faults.getWeightsBytesPerSecond().ifPresent(weightStore::setBytesPerSecond);
    return "set";
  }

  private String announceReclaim(Reclaim reclaim) {
    for (VmEntry vm : vmHistory.current()) {
      if (vm.getFailureDomain().equals(reclaim.getFailureDomain())
          && reclaimableBackends.contains(vm.getName())) {
        announceReclaim(vm, reclaim.getInMs());
      }
    }
    return "announced";
  }

  private void announceReclaim(VmEntry vm, long inMs) {
    VmEntry leavingVm =
        new VmEntry(vm.getName(), vm.getAddress(), vm.getFailureDomain(), vm.getKind(), true, inMs);
    vmHistory.put(leavingVm, StandinServer.nowMs());
    server.executeAfterMs(inMs, () -> vmHistory.remove(vm.getName(), StandinServer.nowMs()));
  }

  private List<VmEntry> leavingVms() {
    return vmHistory.current().stream().filter(VmEntry::isLeaving).toList();
  }

  private PlatformRecord toRecord() {
    return new PlatformRecord(orderHandler.receivedOrders(), usageReportHandler.receivedReports());
  }
}
