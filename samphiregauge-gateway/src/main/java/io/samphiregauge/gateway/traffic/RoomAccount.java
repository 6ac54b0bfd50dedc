package io.samphiregauge.gateway.traffic;

import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.dispatch.ServerLoad;
import io.samphiregauge.core.exchange.LoadExchange;
import io.samphiregauge.core.room.GroupState;
import io.samphiregauge.core.room.RejectionCause;
import io.samphiregauge.core.room.RoomLedger;
import io.samphiregauge.core.room.ServiceRoom;
import io.samphiregauge.core.room.ServiceUse;
import io.samphiregauge.schema.peer.ServiceDemand;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Keeps the account of the room of each service: feeds it with requests, responses and the loads of
 * other entries, and logs when a service becomes full. Confined to one event loop.
 */
final class RoomAccount implements ServiceRoom {
  private static final Logger LOG = System.getLogger(RoomAccount.class.getName());

  private final EventLoopContext context;
  private final boolean enabled;
  private final RoomLedger ledger;
  private final Set<String> fullServices = new HashSet<>();

  /**
   * Creates the account of an event loop.
   *
   * @param context state of the event loop
   * @param enabled whether the entries share the room of services
   */
  RoomAccount(EventLoopContext context, boolean enabled) {
    this.context = context;
    this.enabled = enabled;
    this.ledger =
        new RoomLedger(
            load -> context.serverLoads().isUsable(load, DualTimestamp.monotonicNowMs()),
            () -> context.random().nextLong());
  }

  /**
   * Returns whether places are shared: in a small group the known loads are too fresh for a rush.
   */
  boolean isActive() {
    return enabled && context.areLoadsStale();
  }

  /** Replaces the servers of all services. */
  void update(Map<String, List<ServerLoad>> servers) {
    ledger.update(servers);
  }

  /** Records that a request for a service arrived. */
  void onArrival(String service) {
    if (enabled) {
      ledger.recordArrival(service, DualTimestamp.monotonicNowMs());
    }
  }

  /** Records that a server is chosen for a request. */
  void onChosen(ServerLoad load) {
    ledger.recordChosen(load, DualTimestamp.monotonicNowMs());
    context.metrics().increment("sends." + load.server().service());
  }

  /** Records what the head of a response tells about the room of its server. */
  void onResponseHead(ForwardAttempt attempt, ServerResponse response) {
    long sentAtMs = attempt.startedAt().monotonicMs();
    if (!response.isRejection()) {
      ledger.recordAccepted(attempt.load(), sentAtMs, DualTimestamp.monotonicNowMs());
      return;
    }
    boolean serving = !response.isMisdirected() && !response.isFromLeavingServer();
    RejectionCause cause =
        RejectionCause.of(
            serving,
            attempt.kvSource().isPresent(),
            attempt.elapsedMs(),
            attempt.load().totalInFlight(),
            attempt.load().server().slots());
    context.metrics().increment("rejections." + cause.name().toLowerCase(Locale.ROOT));
    ledger.recordRejection(attempt.load(), cause, sentAtMs, DualTimestamp.monotonicNowMs());
  }

  /** Returns the demand at this entry; none while places are not shared. */
  List<ServiceDemand> ownDemands() {
    return isActive() ? ledger.ownDemands(DualTimestamp.monotonicNowMs()) : List.of();
  }

  /** Records that the loads of the other entries were applied. */
  void onExchange(LoadExchange exchange) {
    long nowMs = DualTimestamp.monotonicNowMs();
    int entries = isActive() ? context.view().members().size() : 1;
    GroupState group =
        new GroupState(entries, exchange.hearsOthers(nowMs), LoadExchange.maxAgeMs(entries));
    ledger.recordExchange(exchange.otherEntriesDemands(nowMs), group, nowMs);
    if (enabled) {
      ledger.services().forEach(service -> report(service, ledger.use(service, nowMs), group));
    }
  }

  private void report(String service, ServiceUse use, GroupState group) {
    context.metrics().setGauge("room.places." + service, use.places());
    context.metrics().setGauge("room.free." + service, use.free());
    boolean changed = use.isFull() ? fullServices.add(service) : fullServices.remove(service);
    if (changed) {
      LOG.log(
          Level.INFO,
          "event={0} service={1} places={2} used={3} own={4} entries={5} max_age_ms={6}",
          use.isFull() ? "service_full" : "service_has_room",
          service,
          Integer.toString(use.places()),
          Integer.toString(use.used()),
          Integer.toString(use.own()),
          Integer.toString(group.entries()),
          Long.toString(group.maxAgeMs()));
    }
  }

  @Override
  public int freePlaces(String service, long nowMs) {
    return ledger.freePlaces(service, nowMs);
  }

  /** Narrows the servers that a request may use to those that are expected to accept it. */
  List<ServerLoad> narrow(String service, List<ServerLoad> candidates, long nowMs) {
    return isActive() ? ledger.narrow(service, candidates, nowMs) : candidates;
  }
}
