package io.samphiregauge.core.site;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * A version of the operators' configuration; immutable.
 *
 * <pre>{@code
 * Optional<SiteRoute> route = config.findRoute("shop.example", "/plans/7");
 * }</pre>
 */
public final class SiteConfig {
  private final long version;
  private final Map<String, List<SiteRoute>> routesByHost;
  private final Map<String, ServiceSpec> services;
  private final Optional<Map<String, Team>> teamsByKey;
  private final Optional<RequestLimits> requestLimits;
  private final Map<String, TeamQuota> quotas;

  /**
   * Creates a configuration.
   *
   * @param version version number; a greater version replaces a smaller one
   * @param routes all routes
   * @param services all services
   * @param teamsByKey team of each key, or empty if no request needs a key
   * @param requestLimits sizes up to which requests are accepted, or empty for the defaults
   */
  public SiteConfig(
      long version,
      List<SiteRoute> routes,
      List<ServiceSpec> services,
      Optional<Map<String, Team>> teamsByKey,
      Optional<RequestLimits> requestLimits) {
    this.version = version;
    this.routesByHost = groupByHost(routes);
    Map<String, ServiceSpec> servicesByName = new HashMap<>();
    services.forEach(service -> servicesByName.put(service.name(), service));
    this.services = Map.copyOf(servicesByName);
    this.teamsByKey = teamsByKey.map(Map::copyOf);
    this.requestLimits = requestLimits;
    Map<String, TeamQuota> quotasByTeam = new HashMap<>();
    teamsByKey
        .map(Map::values)
        .orElse(List.of())
        .forEach(team -> team.quota().ifPresent(quota -> quotasByTeam.put(team.name(), quota)));
    this.quotas = Map.copyOf(quotasByTeam);
  }

  private static Map<String, List<SiteRoute>> groupByHost(List<SiteRoute> routes) {
    Map<String, List<SiteRoute>> byHost = new HashMap<>();
    routes.forEach(
        route -> byHost.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route));
    byHost.values().forEach(list -> list.sort(SiteConfig::longestPrefixFirst));
    return Map.copyOf(byHost);
  }

  private static int longestPrefixFirst(SiteRoute a, SiteRoute b) {
    return Integer.compare(b.pathPrefix().length(), a.pathPrefix().length());
  }

  /** Returns the version number, which increases with each change. */
  public long version() {
    return version;
  }

  /** Returns the number of routes of all hosts. */
  public int routeCount() {
    return routesByHost.values().stream().mapToInt(List::size).sum();
  }

  /** Returns all services, by name. */
  public Map<String, ServiceSpec> services() {
    return services;
  }

  /**
   * Returns the capacity of the model engines of a service.
   *
   * @param service name of the service
   * @return the capacity of each engine, or empty if the service is unknown or has no engines
   */
  public Optional<EngineSpec> engineSpec(String service) {
    return Optional.ofNullable(services.get(service)).flatMap(ServiceSpec::engine);
  }

  /**
   * Returns whether routes with different urgency compete for one service: a route with a higher
   * priority also has a shorter objective than another route of the service.
   */
  public boolean hasCompetingRoutes() {
    Map<String, List<SiteRoute>> byService = new HashMap<>();
    for (List<SiteRoute> routes : routesByHost.values()) {
      for (SiteRoute route : routes) {
        for (ServiceShare share : route.shares()) {
          byService.computeIfAbsent(share.service(), name -> new ArrayList<>()).add(route);
        }
      }
    }
    return byService.values().stream().anyMatch(SiteConfig::compete);
  }

  private static boolean compete(List<SiteRoute> routes) {
    return routes.stream()
        .anyMatch(urgent -> routes.stream().anyMatch(other -> goesBefore(urgent, other)));
  }

  private static boolean goesBefore(SiteRoute urgent, SiteRoute other) {
    return urgent.priority() < other.priority()
        && urgent.targetLatencyMs() < other.targetLatencyMs();
  }

  /** Returns the sizes up to which requests are accepted, or empty if the defaults apply. */
  public Optional<RequestLimits> requestLimits() {
    return requestLimits;
  }

  /** Returns whether requests need a key on routes without public access. */
  public boolean requiresKeys() {
    return teamsByKey.isPresent();
  }

  /**
   * Finds the route of a request. If several routes of the host match, the one with the longest
   * path prefix is used.
   *
   * @param host host name, with or without a port
   * @param path path without the query string
   * @return the route, or empty if none matches
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

  /** Returns the quotas of the teams that have one and a key, by the name of the team. */
  public Map<String, TeamQuota> quotas() {
    return quotas;
  }

  /**
   * Finds the team that a key belongs to.
   *
   * @param key the key
   * @return the team, or empty if the key is unknown
   */
  public Optional<Team> findTeam(String key) {
    return teamsByKey.flatMap(teams -> Optional.ofNullable(teams.get(key)));
  }
}
