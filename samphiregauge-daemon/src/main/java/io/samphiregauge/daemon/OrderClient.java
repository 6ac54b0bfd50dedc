package io.samphiregauge.daemon;

import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.control.Coordinator;
import io.samphiregauge.core.control.CoordinatorEvent;
import io.samphiregauge.core.lease.LeaseAgent;
import io.samphiregauge.core.order.OrderAction;
import io.samphiregauge.core.order.OrderEvent;
import io.samphiregauge.core.order.Orders;
import io.samphiregauge.core.usage.UsageAction;
import io.samphiregauge.core.usage.UsageEvent;
import io.samphiregauge.net.Address;
import io.samphiregauge.net.Codec;
import io.samphiregauge.net.OneShotHttpClient;
import io.samphiregauge.schema.config.Backend;
import io.samphiregauge.schema.platform.OrderAnswer;
import io.samphiregauge.schema.platform.OrderRequest;
import io.samphiregauge.schema.platform.UsageReportAnswer;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Function;

/** Sends orders and usage reports over HTTP, only while the lease that covers them is held. */
final class OrderClient {
  private static final int TIMEOUT_MS = 5_000;

  private final OneShotHttpClient httpClient;
  private final Optional<Address> platform;
  private final ControlLoop control;

  OrderClient(OneShotHttpClient httpClient, Optional<Address> platform, ControlLoop control) {
    this.httpClient = httpClient;
    this.platform = platform;
    this.control = control;
  }

  void sendOrder(OrderAction.Send order) {
    OrderEvent outcomeUnknown = new OrderEvent.OutcomeUnknown(order.intentOffset());
    Optional<Address> target = resolveTarget(order.target());
    if (target.isEmpty()) {
      control.post(new CoordinatorEvent.OrderCompleted(outcomeUnknown));
      return;
    }
    String path = order.target().equals(Orders.PLATFORM) ? "/v1/backend-orders" : "/v1/orders";
    byte[] json = Codec.json().encode(new OrderRequest(order.intentOffset(), order.order()));
    httpClient
        .postIf(
            target.get(),
            path,
            json,
            TIMEOUT_MS,
            () -> remainingMs(Coordinator::fleetLease, order.leaseToken()))
        .thenAccept(
            response ->
                control.post(
                    new CoordinatorEvent.OrderCompleted(
                        response
                            .flatMap(bytes -> Codec.json().decode(bytes, OrderAnswer.class))
                            .<OrderEvent>map(
                                answer ->
                                    new OrderEvent.Responded(
                                        order.intentOffset(), answer.getStatus()))
                            .value()
                            .orElse(outcomeUnknown))));
  }

  void sendReport(UsageAction.Report report) {
    long window = report.report().getWindow();
    UsageEvent outcomeUnknown = new UsageEvent.ReportOutcomeUnknown(window);
    if (platform.isEmpty()) {
      control.post(new CoordinatorEvent.ReportCompleted(outcomeUnknown));
      return;
    }
    httpClient
        .postIf(
            platform.get(),
            "/v1/usage-reports",
            Codec.json().encode(report.report()),
            TIMEOUT_MS,
            () -> remainingMs(Coordinator::usageLease, report.leaseToken()))
        .thenAccept(
            response ->
                control.post(
                    new CoordinatorEvent.ReportCompleted(
                        response
                            .flatMap(bytes -> Codec.json().decode(bytes, UsageReportAnswer.class))
                            .<UsageEvent>map(
                                answer ->
                                    new UsageEvent.ReportResponse(
                                        window, answer.getStatus(), System.currentTimeMillis()))
                            .value()
                            .orElse(outcomeUnknown))));
  }

  /**
   * Returns for how long calls under a lease may be outstanding; called on an event loop. Both
   * clocks are read here, because the control thread may not have run since the VM was resumed.
   */
  private OptionalLong remainingMs(Function<Coordinator, LeaseAgent> lease, long token) {
    DualTimestamp now = control.now();
    return OptionalLong.of(
        control
            .snapshot()
            .coordinator()
            .map(lease)
            .filter(agent -> agent.token(now).equals(OptionalLong.of(token)))
            .map(agent -> agent.actionRemainingMs(now))
            .orElse(0L));
  }

  private Optional<Address> resolveTarget(String name) {
    if (name.equals(Orders.PLATFORM)) {
      return platform;
    }
    return control
        .snapshot()
        .state()
        .config()
        .backend(name)
        .map(Backend::getAddress)
        .flatMap(address -> Address.parse(address).value());
  }
}
