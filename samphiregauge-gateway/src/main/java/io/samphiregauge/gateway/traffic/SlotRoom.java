package io.samphiregauge.gateway.traffic;

import io.samphiregauge.core.dispatch.ServerLoad;
import io.samphiregauge.core.room.ServiceRoom;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Function;

/**
 * Tells how many requests this entry may send to a service: the free slots of its servers while the
 * loads of the other entries are fresh, else its share of the account. Confined to one event loop.
 */
final class SlotRoom implements ServiceRoom {
  private final Function<String, List<ServerLoad>> servers;
  private final ServiceRoom account;
  private final BooleanSupplier shared;
  private final BooleanSupplier stale;

  /**
   * Creates the room of all services.
   *
   * @param servers returns the servers of a service that may be used
   * @param account the account of the room that entries share
   * @param shared whether the entries share the room
   * @param stale whether the loads of other entries are too old to tell whether a service is full;
   *     no request may be refused because of them
   */
  SlotRoom(
      Function<String, List<ServerLoad>> servers,
      ServiceRoom account,
      BooleanSupplier shared,
      BooleanSupplier stale) {
    this.servers = servers;
    this.account = account;
    this.shared = shared;
    this.stale = stale;
  }

  @Override
  public int freePlaces(String service, long nowMs) {
    List<ServerLoad> generating =
        servers.apply(service).stream().filter(load -> !load.server().prefillOnly()).toList();
    // Without servers the choice of the server decides whether the request is held or refused.
    if (generating.isEmpty()) {
      return Integer.MAX_VALUE;
    }
    if (!stale.getAsBoolean()) {
      // Nothing is sent to an avoided server while others respond, so its slots are no room.
      boolean allAvoided = generating.stream().allMatch(load -> load.isAvoided(nowMs));
      return generating.stream()
          .filter(load -> allAvoided || !load.isAvoided(nowMs))
          .mapToInt(load -> Math.max(0, load.server().slots() - load.totalInFlight()))
          .sum();
    }
    if (!shared.getAsBoolean()) {
      return Integer.MAX_VALUE;
    }
    int places = account.freePlaces(service, nowMs);
    // A share of less than one place would hold a request for longer than the queue of a server.
    boolean idle = generating.stream().allMatch(load -> load.inFlight() == 0);
    return idle ? Math.max(1, places) : places;
  }
}
