package io.samphiregauge.daemon;

import io.samphiregauge.core.Clock;
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

/** Adapter that sends orders and usage reports while the lease for them still allows it. */
final class OrderClient {
  private static final int TIMEOUT_MS = 5_000;

  private final OneShotHttpClient httpClient;
  private final Optional<Address> platform;
  private final Clock clock;
  private final ControlLoop control;

  OrderClient(
      OneShotHttpClient caller, Optional<Address> platform, Clock clock, ControlLoop control) {
    this.httpClient = caller;
    this.platform = platform;
    this.clock = clock;
    this.control = control;
  }

  void sendOrder(OrderAction.Send order) {
    OrderEvent lost = new OrderEvent.OutcomeUnknown(order.intentOffset());
    Optional<Address> target = resolveTarget(order.target());
    if (target.isEmpty()) {
      control.post(new CoordinatorEvent.OrderCompleted(lost));
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
            () -> holdsLease(Coordinator::fleetLease, order.leaseToken()))
        .thenAccept(
            body ->
                control.post(
                    new CoordinatorEvent.OrderCompleted(
                        body.flatMap(bytes -> Codec.json().decode(bytes, OrderAnswer.class))
                            .<OrderEvent>map(
                                answer ->
                                    new OrderEvent.Responded(
                                        order.intentOffset(), answer.getStatus()))
                            .value()
                            .orElse(lost))));
  }

  void sendReport(UsageAction.Report report) {
    long window = report.report().getWindow();
    UsageEvent lost = new UsageEvent.ReportOutcomeUnknown(window);
    if (platform.isEmpty()) {
      control.post(new CoordinatorEvent.ReportCompleted(lost));
      return;
    }
    httpClient
        .postIf(
            platform.get(),
            "/v1/usage-reports",
            Codec.json().encode(report.report()),
            TIMEOUT_MS,
            () -> holdsLease(Coordinator::usageLease, report.leaseToken()))
        .thenAccept(
            body ->
                control.post(
                    new CoordinatorEvent.ReportCompleted(
                        body.flatMap(bytes -> Codec.json().decode(bytes, UsageReportAnswer.class))
                            .<UsageEvent>map(
                                answer ->
                                    new UsageEvent.ReportResponse(
                                        window, answer.getStatus(), System.currentTimeMillis()))
                            .value()
                            .orElse(lost))));
  }

  /** Asked on an event loop at the last step before the socket write. */
  private boolean holdsLease(Function<Coordinator, LeaseAgent> lease, long token) {
    return control
        .snapshot()
        .coordinator()
        .map(lease)
        .filter(agent -> agent.token(clock.nowMs()).equals(OptionalLong.of(token)))
        .isPresent();
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
        .flatMap(text -> Address.parse(text).value());
  }
}
