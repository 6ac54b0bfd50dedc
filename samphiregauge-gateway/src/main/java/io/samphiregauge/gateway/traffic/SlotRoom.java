package io.samphiregauge.gateway.traffic;

import io.samphiregauge.core.dispatch.ServerLoad;
import io.samphiregauge.core.room.ServiceRoom;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;

/**
 * Tells how many requests this entry may send to a service: the free slots of its servers while the
 * loads of the other entries are fresh, else its share of the account. Confined to one event loop.
 */
final class SlotRoom implements ServiceRoom {
  private final ServerLoadTable serverLoads;
  private final RoomAccount account;
  private final BooleanSupplier stale;

  /**
   * Creates the room of all services.
   *
   * @param serverLoads the servers
   * @param account the account of the room that entries share
   * @param stale whether the loads of other entries are too old to tell whether a service is full;
   *     no request may be refused because of them
   */
  SlotRoom(ServerLoadTable serverLoads, RoomAccount account, BooleanSupplier stale) {
    this.serverLoads = serverLoads;
    this.account = account;
    this.stale = stale;
  }

  @Override
  public int freePlaces(String service, long nowMs) {
    List<ServerLoad> servers =
        serverLoads.candidates(service, Set.of(), nowMs).stream()
            .filter(load -> !load.server().prefillOnly())
            .toList();
    // Without servers the choice of the server decides whether the request is held or refused.
    if (servers.isEmpty()) {
      return Integer.MAX_VALUE;
    }
    if (stale.getAsBoolean()) {
      return account.isActive() ? account.freePlaces(service, nowMs) : Integer.MAX_VALUE;
    }
    return servers.stream()
        .mapToInt(load -> Math.max(0, load.server().slots() - load.totalInFlight()))
        .sum();
  }
}
