package io.samphiregauge.gateway.traffic;

import io.samphiregauge.core.dispatch.ServerLoad;
import io.samphiregauge.core.room.ServiceRoom;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;

/**
 * Counts the free slots of the servers of a service from the requests that are known to be in
 * flight. Confined to one event loop.
 */
final class SlotRoom implements ServiceRoom {
  private final ServerLoadTable serverLoads;
  private final BooleanSupplier stale;

  /**
   * Creates the room of all services.
   *
   * @param serverLoads the servers
   * @param stale whether the loads of other entries are too old to tell whether a service is full;
   *     no request may be refused because of them
   */
  SlotRoom(ServerLoadTable serverLoads, BooleanSupplier stale) {
    this.serverLoads = serverLoads;
    this.stale = stale;
  }

  @Override
  public int freePlaces(String service, long nowMs) {
    List<ServerLoad> servers =
        serverLoads.candidates(service, Set.of(), nowMs).stream()
            .filter(load -> !load.server().prefillOnly())
            .toList();
    // Without servers the choice of the server decides whether the request is held or refused.
    if (stale.getAsBoolean() || servers.isEmpty()) {
      return Integer.MAX_VALUE;
    }
    return servers.stream()
        .mapToInt(load -> Math.max(0, load.server().slots() - load.totalInFlight()))
        .sum();
  }
}
