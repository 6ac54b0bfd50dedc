package io.samphiregauge.gateway.control;

import io.samphiregauge.core.fleet.DomainTarget;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.gateway.Moment;
import io.samphiregauge.gateway.port.FleetApi;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;

/**
 * Orders the planned backend servers while this entry holds the duty lease, one order at a time.
 * Runs on the control thread.
 *
 * <p>An accepted order may bring fewer servers than it names, since the bounds count both kinds of
 * servers and those that were reclaimed do not come back by themselves. Where servers are missing,
 * the order is therefore repeated.
 */
final class FleetOrders {
  private static final Logger LOG = System.getLogger(FleetOrders.class.getName());

  /** Time beside that of a start until the servers of an order must have announced themselves. */
  private static final long ANNOUNCE_MS = 2_500;

  /** Pause after an order that could not be met or was not answered; each call is paid for. */
  private static final long RETRY_MS = 2_400;

  private final ControlThread control;
  private final FleetApi fleet;
  private final Supplier<List<DomainTarget>> plan;
  private final ToIntFunction<DomainTarget> present;
  private final Map<DomainTarget, Long> notBeforeMs = new HashMap<>();
  private long lastToken;
  private boolean ordering;

  /**
   * Prepares to order.
   *
   * @param control the control thread
   * @param fleet takes the orders
   * @param plan gives the numbers that are wanted now
   * @param present gives the number of servers of a target that are there
   */
  FleetOrders(
      ControlThread control,
      FleetApi fleet,
      Supplier<List<DomainTarget>> plan,
      ToIntFunction<DomainTarget> present) {
    this.control = control;
    this.fleet = fleet;
    this.plan = plan;
    this.present = present;
  }

  /** Sends the next order that is due, if there is one. */
  void work(FleetApi.Authority authority) {
    if (ordering) {
      return;
    }
    if (lastToken != authority.token()) {
      // Another holder may have ordered otherwise since then.
      notBeforeMs.clear();
      lastToken = authority.token();
    }
    plan.get().stream()
        .filter(this::isDue)
        .findFirst()
        .ifPresent(target -> order(target, authority));
  }

  private boolean isDue(DomainTarget target) {
    Optional<Long> earliest = Optional.ofNullable(notBeforeMs.get(target));
    return earliest.isEmpty()
        || (Moment.nowMs() >= earliest.orElseThrow()
            && present.applyAsInt(target) != target.servers());
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
        "event=servers_ordered service={0} domain={1} reclaimable={2} servers={3} present={4}"
            + " token={5} ok={6}",
        target.service(),
        target.domain(),
        Boolean.toString(target.reclaimable()),
        Integer.toString(target.servers()),
        Integer.toString(present.applyAsInt(target)),
        Long.toString(authority.token()),
        result.fold(had -> Boolean.toString(had), failure -> failure.type()));
    boolean accepted = result.value().orElse(false);
    notBeforeMs.put(target, Moment.nowMs() + (accepted ? target.bootMs() + ANNOUNCE_MS : RETRY_MS));
    if (accepted) {
      work(authority);
    }
  }
}
