package io.samphiregauge.core.site;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * One version of the operators' configuration.
 *
 * <pre>{@code
 * Optional<SiteRoute> route = config.route("shop.example", "/plans/7");
 * }</pre>
 */
public final class SiteConfig {
  private final long version;
  private final Map<String, List<SiteRoute>> routesByHost;
  private final Map<String, ServiceSpec> services;
  private final Optional<Map<String, Team>> teamsByKey;

  /**
   * Makes a configuration.
   *
   * @param version its version; a greater one replaces it
   * @param routes all routes
   * @param services all services
   * @param teamsByKey team of each key; without it no request needs a key
   */
  public SiteConfig(
      long version,
      List<SiteRoute> routes,
      List<ServiceSpec> services,
      Optional<Map<String, Team>> teamsByKey) {
    this.version = version;
    this.routesByHost = byHost(routes);
    Map<String, ServiceSpec> named = new HashMap<>();
    services.forEach(service -> named.put(service.name(), service));
    this.services = Map.copyOf(named);
    this.teamsByKey = teamsByKey.map(Map::copyOf);
  }

  private static Map<String, List<SiteRoute>> byHost(List<SiteRoute> routes) {
    Map<String, List<SiteRoute>> hosts = new HashMap<>();
    routes.forEach(
        route -> hosts.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route));
    hosts.values().forEach(list -> list.sort(SiteConfig::longestPrefixFirst));
    return Map.copyOf(hosts);
  }

  private static int longestPrefixFirst(SiteRoute one, SiteRoute other) {
    return Integer.compare(other.pathPrefix().length(), one.pathPrefix().length());
  }

  /** Returns the version. */
  public long version() {
    return version;
  }

  /** Returns the number of routes. */
  public int routeCount() {
    return routesByHost.values().stream().mapToInt(List::size).sum();
  }

  /** Returns all services by name. */
  public Map<String, ServiceSpec> services() {
    return services;
  }

  /**
   * Returns what the model engines of a service have in common.
   *
   * @param service name of the service
   * @return the engines' figures, if the service is known and has engines
   */
  public Optional<EngineSpec> engineSpec(String service) {
    return Optional.ofNullable(services.get(service)).flatMap(ServiceSpec::engine);
  }

  /** Returns whether requests need a key on routes that are not open. */
  public boolean requiresKeys() {
    return teamsByKey.isPresent();
  }

  /**
   * Finds the route of a request: of the host's routes, the one with the longest matching prefix.
   *
   * @param host host name, with or without a port
   * @param path path without a query
   * @return the route, if one matches
   */
  public Optional<SiteRoute> findRoute(String host, String path) {
    int colon = host.indexOf(':');
    String hostname = (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
    for (SiteRoute route : routesByHost.getOrDefault(hostname, List.of())) {
      if (path.startsWith(route.pathPrefix())) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }

  /**
   * Finds the team that holds a key.
   *
   * @param key the key
   * @return the team, if the key is known
   */
  public Optional<Team> findTeam(String key) {
    return teamsByKey.flatMap(teams -> Optional.ofNullable(teams.get(key)));
  }
}
