package io.samphiregauge.gateway.control;

import io.samphiregauge.core.Clock;
import io.samphiregauge.core.fleet.DomainTarget;
import io.samphiregauge.core.result.Result;
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
 * <p>An accepted order may result in fewer servers than requested, because the limits of a service
 * count reclaimable and other servers together and reclaimed servers are not replaced
 * automatically. An order is therefore repeated while the number of servers differs.
 */
final class FleetOrders {
  private static final Logger LOG = System.getLogger(FleetOrders.class.getName());

  /**
   * Time after the boot duration of a target within which ordered servers must have announced
   * themselves.
   */
  private static final long ANNOUNCE_MS = 2_500;

  /** Delay after an order that was not fulfilled or got no response; each call is charged. */
  private static final long RETRY_MS = 2_400;

  private final ControlThread control;
  private final FleetApi fleet;
  private final Supplier<List<DomainTarget>> targets;
  private final ToIntFunction<DomainTarget> presentServers;
  private final Clock clock;

  /** Monotonic time before which an order is not repeated, by target. */
  private final Map<DomainTarget, Long> nextOrderMs = new HashMap<>();

  private long lastToken;
  private boolean orderPending;

  /**
   * Creates an instance that has sent no orders.
   *
   * @param control the control thread
   * @param fleet sends orders to the platform
   * @param targets provides the numbers of servers that are currently planned
   * @param presentServers counts the usable servers of a target
   * @param clock monotonic clock
   */
  FleetOrders(
      ControlThread control,
      FleetApi fleet,
      Supplier<List<DomainTarget>> targets,
      ToIntFunction<DomainTarget> presentServers,
      Clock clock) {
    this.control = control;
    this.fleet = fleet;
    this.targets = targets;
    this.presentServers = presentServers;
    this.clock = clock;
  }

  /**
   * Sends the next order that is due, unless another one is pending.
   *
   * @param credentials credentials of the duty lease, which this entry holds
   */
  void sendNextOrder(FleetApi.LeaseCredentials credentials) {
    if (orderPending) {
      return;
    }
    if (lastToken != credentials.token()) {
      // Another holder may have sent different orders in the meantime.
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
        || (clock.nowMs() >= earliest.orElseThrow()
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
        result.fold(available -> Boolean.toString(available), failure -> failure.type()));
    boolean accepted = result.value().orElse(false);
    nextOrderMs.put(target, clock.nowMs() + (accepted ? target.bootMs() + ANNOUNCE_MS : RETRY_MS));
    if (accepted) {
      sendNextOrder(credentials);
    }
  }
}
