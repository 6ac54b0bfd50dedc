package io.samphiregauge.gateway.traffic;

import io.samphiregauge.core.backend.BackendServer;
import io.samphiregauge.core.dispatch.ServerLoad;
import io.samphiregauge.core.site.EngineSpec;
import io.samphiregauge.core.site.SiteConfig;
import io.samphiregauge.gateway.GatewayView;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Holds the load of each usable backend server, by service. Confined to one event loop. */
final class ServerLoadTable {
  /** Latency assumed for a server of a service without engines before its first response. */
  private static final double INITIAL_LATENCY_MS = 40;

  private final Map<String, ServerLoad> byIncarnation = new HashMap<>();
  private final Map<Integer, ServerLoad> byKey = new HashMap<>();
  private Map<String, List<ServerLoad>> byService = Map.of();
  private long serversVersion = -1;

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
  }

  private static ServerLoad newLoad(BackendServer server, SiteConfig config) {
    long kvTokens = config.engineSpec(server.service()).map(EngineSpec::kvTokens).orElse(0L);
    return new ServerLoad(server, kvTokens, INITIAL_LATENCY_MS);
  }

  /** Returns whether this incarnation of a server may still receive requests. */
  boolean isUsable(String incarnation) {
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

  /** Returns the servers of a service, except those that a request has already tried. */
  List<ServerLoad> candidates(String service, Set<String> triedIncarnations) {
    List<ServerLoad> all = byService.getOrDefault(service, List.of());
    if (triedIncarnations.isEmpty()) {
      return all;
    }
    return all.stream()
        .filter(load -> !triedIncarnations.contains(load.server().incarnation()))
        .toList();
  }
}
