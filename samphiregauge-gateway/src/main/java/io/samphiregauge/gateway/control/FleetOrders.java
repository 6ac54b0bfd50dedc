package io.samphiregauge.gateway.control;

import io.samphiregauge.core.fleet.DomainTarget;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.gateway.DualTimestamp;
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
  private final Supplier<List<DomainTarget>> targets;
  private final ToIntFunction<DomainTarget> presentServers;
  private final Map<DomainTarget, Long> nextOrderMs = new HashMap<>();
  private long lastToken;
  private boolean orderPending;

  /**
   * Prepares to order.
   *
   * @param control the control thread
   * @param fleet takes the orders
   * @param targets gives the numbers that are wanted now
   * @param presentServers gives the number of servers of a target that are there
   */
  FleetOrders(
      ControlThread control,
      FleetApi fleet,
      Supplier<List<DomainTarget>> targets,
      ToIntFunction<DomainTarget> presentServers) {
    this.control = control;
    this.fleet = fleet;
    this.targets = targets;
    this.presentServers = presentServers;
  }

  /** Sends the next order that is due, if there is one. */
  void sendNextOrder(FleetApi.LeaseCredentials credentials) {
    if (orderPending) {
      return;
    }
    if (lastToken != credentials.token()) {
      // Another holder may have ordered otherwise since then.
      nextOrderMs.clear();
      lastToken = credentials.token();
    }
    targets.get().stream()
        .filter(this::isDue)
        .findFirst()
        .ifPresent(target -> sendOrder(target, credentials));
  }

  private boolean isDue(DomainTarget target) {
    Optional<Long> earliest = Optional.ofNullable(nextOrderMs.get(target));
    return earliest.isEmpty()
        || (DualTimestamp.monotonicNowMs() >= earliest.orElseThrow()
            && presentServers.applyAsInt(target) != target.servers());
  }

  private void sendOrder(DomainTarget target, FleetApi.LeaseCredentials credentials) {
    orderPending = true;
    control.onResult(
        fleet
            .orderSender()
            .send(
                new FleetApi.ServerOrder(
                    target.service(), target.domain(), target.servers(), target.reclaimable()),
                credentials),
        result -> onOrderResult(target, credentials, result));
  }

  private void onOrderResult(
      DomainTarget target, FleetApi.LeaseCredentials credentials, Result<Boolean> result) {
    orderPending = false;
    LOG.log(
        Level.INFO,
        "event=servers_ordered service={0} domain={1} reclaimable={2} servers={3} present={4}"
            + " token={5} ok={6}",
        target.service(),
        target.domain(),
        Boolean.toString(target.reclaimable()),
        Integer.toString(target.servers()),
        Integer.toString(presentServers.applyAsInt(target)),
        Long.toString(credentials.token()),
        result.fold(had -> Boolean.toString(had), failure -> failure.type()));
    boolean accepted = result.value().orElse(false);
    nextOrderMs.put(
        target,
        DualTimestamp.monotonicNowMs() + (accepted ? target.bootMs() + ANNOUNCE_MS : RETRY_MS));
    if (accepted) {
      sendNextOrder(credentials);
    }
  }
}
