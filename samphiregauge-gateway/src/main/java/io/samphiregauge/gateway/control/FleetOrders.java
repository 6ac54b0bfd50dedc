package io.samphiregauge.gateway.control;

import io.samphiregauge.core.fleet.DomainTarget;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.gateway.port.FleetApi;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Orders the planned backend servers while this entry holds the duty lease, one order at a time.
 * Runs on the control thread.
 */
final class FleetOrders {
  private static final Logger LOG = System.getLogger(FleetOrders.class.getName());

  private final ControlThread control;
  private final FleetApi fleet;
  private final Supplier<List<DomainTarget>> plan;
  private final List<DomainTarget> accepted = new ArrayList<>();
  private long acceptedToken;
  private boolean ordering;

  FleetOrders(ControlThread control, FleetApi fleet, Supplier<List<DomainTarget>> plan) {
    this.control = control;
    this.fleet = fleet;
    this.plan = plan;
  }

  /** Sends the next order that the plan asks for, if there is one. */
  void work(FleetApi.Authority authority) {
    if (ordering) {
      return;
    }
    if (acceptedToken != authority.token()) {
      // Another holder may have ordered otherwise since then.
      accepted.clear();
      acceptedToken = authority.token();
    }
    Optional<DomainTarget> next =
        plan.get().stream().filter(target -> !accepted.contains(target)).findFirst();
    next.ifPresent(target -> order(target, authority));
  }

  private void order(DomainTarget target, FleetApi.Authority authority) {
    ordering = true;
    control.take(
        fleet
            .order()
            .order(
                new FleetApi.FleetOrder(
                    target.service(), target.domain(), target.servers(), target.reclaimable()),
                authority),
        result -> ordered(target, authority, result));
  }

  private void ordered(DomainTarget target, FleetApi.Authority authority, Result<Boolean> result) {
    ordering = false;
    LOG.log(
        Level.INFO,
        "event=servers_ordered service={0} domain={1} reclaimable={2} servers={3} token={4} ok={5}",
        target.service(),
        target.domain(),
        Boolean.toString(target.reclaimable()),
        Integer.toString(target.servers()),
        Long.toString(authority.token()),
        result.fold(had -> Boolean.toString(had), failure -> failure.type()));
    if (result.value().orElse(false) && acceptedToken == authority.token()) {
      accepted.removeIf(target::sameServers);
      accepted.add(target);
      work(authority);
    }
  }
}
