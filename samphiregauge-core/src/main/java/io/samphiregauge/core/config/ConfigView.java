package io.samphiregauge.core.config;

import io.samphiregauge.schema.config.Backend;
import io.samphiregauge.schema.config.Configuration;
import io.samphiregauge.schema.config.FleetPolicy;
import io.samphiregauge.schema.config.Model;
import io.samphiregauge.schema.config.Service;
import io.samphiregauge.schema.config.Team;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;

/** The current configuration, indexed by item name and by key digest; immutable. */
public final class ConfigView {
  private final Map<String, Team> teams;
  private final Map<String, Model> models;
  private final Map<String, Service> services;
  private final Map<String, Backend> backends;
  private final Optional<FleetPolicy> fleetPolicy;
  private final Map<String, Team> teamsByKeyDigest;

  private ConfigView(
      Map<String, Team> teams,
      Map<String, Model> models,
      Map<String, Service> services,
      Map<String, Backend> backends,
      Optional<FleetPolicy> fleetPolicy) {
    this.teams = teams;
    this.models = models;
    this.services = services;
    this.backends = backends;
    this.fleetPolicy = fleetPolicy;
    this.teamsByKeyDigest = indexKeys(teams.values());
  }

  /**
   * Returns the empty configuration, which applies before the first note.
   *
   * @return a view without teams, models, services and backend servers
   */
  public static ConfigView empty() {
    return of(new Configuration(List.of(), List.of(), List.of(), List.of()));
  }

  /**
   * Creates a view of a configuration.
   *
   * @param configuration the configuration
   * @return the view
   */
  public static ConfigView of(Configuration configuration) {
    return new ConfigView(
        index(configuration.getTeams(), Team::getName),
        index(configuration.getModels(), Model::getName),
        index(configuration.getServices(), Service::getName),
        index(configuration.getBackends(), Backend::getName),
        configuration.getFleetPolicy());
  }

  /**
   * Returns the team that a key belongs to.
   *
   * @param keyDigest SHA-256 digest of the key, in lower-case hex
   * @return the team, or empty if the key is unknown or was withdrawn
   */
  public Optional<Team> teamOfKey(String keyDigest) {
    return Optional.ofNullable(teamsByKeyDigest.get(keyDigest));
  }

  /** Returns the team with a name, if it exists. */
  public Optional<Team> team(String name) {
    return Optional.ofNullable(teams.get(name));
  }

  /** Returns the model with a name, if it exists. */
  public Optional<Model> model(String name) {
    return Optional.ofNullable(models.get(name));
  }

  /** Returns the plain (non-model) service with a name, if it exists. */
  public Optional<Service> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /** Returns the backend server with a name, if it exists. */
  public Optional<Backend> backend(String name) {
    return Optional.ofNullable(backends.get(name));
  }

  /** Returns all teams, sorted by name. */
  public Collection<Team> teams() {
    return teams.values();
  }

  /** Returns all models, sorted by name. */
  public Collection<Model> models() {
    return models.values();
  }

  /** Returns all plain services, sorted by name. */
  public Collection<Service> services() {
    return services.values();
  }

  /** Returns all backend servers, sorted by name. */
  public Collection<Backend> backends() {
    return backends.values();
  }

  /** Returns the fleet policy, or empty if no note has set one. */
  public Optional<FleetPolicy> fleetPolicy() {
    return fleetPolicy;
  }

  /**
   * Converts the view to a configuration message.
   *
   * @return the configuration with all items sorted by name
   */
  public Configuration toConfiguration() {
    List<Team> teamList = new ArrayList<>(teams.values());
    List<Model> modelList = new ArrayList<>(models.values());
    List<Service> serviceList = new ArrayList<>(services.values());
    List<Backend> backendList = new ArrayList<>(backends.values());
    return fleetPolicy
        .map(policy -> new Configuration(teamList, modelList, serviceList, backendList, policy))
        .orElseGet(() -> new Configuration(teamList, modelList, serviceList, backendList));
  }

  private static <T> Map<String, T> index(List<T> items, Function<T, String> name) {
    Map<String, T> byName = new TreeMap<>();
    items.forEach(item -> byName.put(name.apply(item), item));
    return byName;
  }

  private static Map<String, Team> indexKeys(Collection<Team> teams) {
    Map<String, Team> byDigest = new HashMap<>();
    teams.forEach(team -> team.getKeyDigests().forEach(digest -> byDigest.put(digest, team)));
    return byDigest;
  }
}
