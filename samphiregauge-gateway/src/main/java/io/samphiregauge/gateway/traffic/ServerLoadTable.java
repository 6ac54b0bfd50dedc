package io.samphiregauge.gateway.traffic;

import io.samphiregauge.core.backend.BackendServer;
import io.samphiregauge.core.dispatch.ServerLoad;
import io.samphiregauge.core.dispatch.ServerNotices;
import io.samphiregauge.core.site.EngineSpec;
import io.samphiregauge.core.site.SiteConfig;
import io.samphiregauge.gateway.GatewayView;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Holds the load of each announced backend server, by service, and decides which of them a request
 * may use. Confined to one event loop.
 */
final class ServerLoadTable {
  private static final Logger LOG = System.getLogger(ServerLoadTable.class.getName());

  /** Latency assumed for a server of a service without engines before its first response. */
  private static final double INITIAL_LATENCY_MS = 40;

  private final Map<String, ServerLoad> byIncarnation = new HashMap<>();
  private final Map<Integer, ServerLoad> byKey = new HashMap<>();
  private final ServerNotices notices = new ServerNotices();
  private final RoomAccount room;
  private Map<String, List<ServerLoad>> byService = Map.of();
  private long serversVersion = -1;

  /**
   * Creates a table without servers.
   *
   * @param room account of the room of each service
   */
  ServerLoadTable(RoomAccount room) {
    this.room = room;
  }

  /** Replaces the servers with those of a view, keeping the load of each known incarnation. */
  void update(GatewayView view) {
    if (view.serversVersion() == serversVersion || view.config().isEmpty()) {
      return;
    }
    serversVersion = view.serversVersion();
    Map<String, ServerLoad> previous = new HashMap<>(byIncarnation);
    byIncarnation.clear();
    byKey.clear();
    Map<String, List<ServerLoad>> loadsByService = new HashMap<>();
    for (BackendServer server : view.servers()) {
      ServerLoad load =
          Optional.ofNullable(previous.get(server.incarnation()))
              .map(known -> known.updateAnnouncement(server))
              .orElseGet(() -> newLoad(server, view.config().orElseThrow()));
      byIncarnation.put(server.incarnation(), load);
      byKey.put(load.key(), load);
      loadsByService.computeIfAbsent(server.service(), name -> new ArrayList<>()).add(load);
    }
    byService = loadsByService;
    room.update(byService);
    previous.values().stream()
        .filter(load -> !byIncarnation.containsKey(load.server().incarnation()))
        .filter(load -> notices.isLeaving(load.server()))
        .forEach(load -> logGone(load.server()));
  }

  private static void logGone(BackendServer server) {
    LOG.log(Level.INFO, "event=leaving_server_gone backend={0}", server.incarnation());
  }

  private static ServerLoad newLoad(BackendServer server, SiteConfig config) {
    long kvTokens = config.engineSpec(server.service()).map(EngineSpec::kvTokens).orElse(0L);
    return new ServerLoad(server, kvTokens, INITIAL_LATENCY_MS);
  }

  /** Returns what the servers have said about themselves. */
  ServerNotices notices() {
    return notices;
  }

  /** Returns whether this incarnation of a server is announced. */
  boolean isAnnounced(String incarnation) {
    return byIncarnation.containsKey(incarnation);
  }

  /** Returns the server that a key identifies in messages between entries. */
  Optional<ServerLoad> findByKey(int key) {
    return Optional.ofNullable(byKey.get(key));
  }

  /** Returns the loads of the servers of all services. */
  Collection<ServerLoad> all() {
    return byIncarnation.values();
  }

  /**
   * Returns the servers of a service that a request may use.
   *
   * @param service name of the service
   * @param triedIncarnations servers that the request has already tried
   * @param nowMs monotonic time in milliseconds
   * @return announced servers that were not tried, do not leave, and do not want a pause
   */
  List<ServerLoad> candidates(String service, Set<String> triedIncarnations, long nowMs) {
    List<ServerLoad> all = byService.getOrDefault(service, List.of());
    if (triedIncarnations.isEmpty() && notices.isEmpty()) {
      return all;
    }
    return all.stream()
        .filter(load -> !isTried(load.server(), triedIncarnations))
        .filter(load -> notices.mayContact(load.server(), nowMs))
        .toList();
  }

  private static boolean isTried(BackendServer server, Set<String> triedIncarnations) {
    return !triedIncarnations.isEmpty() && triedIncarnations.contains(server.incarnation());
  }

  /**
   * Returns whether a request may use a certain server.
   *
   * @param load the server
   * @param nowMs monotonic time in milliseconds
   */
  boolean isUsable(ServerLoad load, long nowMs) {
    return isAnnounced(load.server().incarnation()) && notices.mayContact(load.server(), nowMs);
  }

  /**
   * Returns when a request may use the first of the servers that want a pause.
   *
   * @param service name of the service
   * @param eligible selects the servers that the request could use after their pause
   * @param nowMs monotonic time in milliseconds
   * @return the time in monotonic milliseconds; empty if no server wants a pause
   */
  OptionalLong pauseEndsAtMs(String service, Predicate<BackendServer> eligible, long nowMs) {
    return byService.getOrDefault(service, List.of()).stream()
        .map(ServerLoad::server)
        .filter(eligible)
        .filter(server -> !notices.mayContact(server, nowMs))
        .flatMapToLong(server -> notices.contactableAtMs(server, nowMs).stream())
        .min();
  }
}
