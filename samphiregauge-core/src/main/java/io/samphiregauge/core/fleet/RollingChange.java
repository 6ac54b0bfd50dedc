package io.samphiregauge.core.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Plans drains, replacements, withdrawals and loads of model versions under traffic: a few engines
 * at a time, so that the others carry the demand, and no faster than the weight store allows.
 */
public final class RollingChange {
  /** Maximum load of the remaining engines while others are unavailable. */
  private static final double MAX_LOAD_DURING_CHANGE = 0.85;

  private RollingChange() {}

  /** Type of a change. */
  public enum Kind {
    /** Load a model version. */
    LOAD,
    /** Replace the engine by a new one, which serves before the old one drains. */
    REPLACE,
    /** Remove the engine. */
    WITHDRAW
  }

  /** Progress of a change. */
  public enum Stage {
    /** Nothing has been ordered yet. */
    WAITING,
    /** The new engine has been ordered. */
    SUCCESSOR_ORDERED,
    /** The new engine serves. */
    SUCCESSOR_SERVES,
    /** The engine accepts no new work and completes its requests. */
    DRAINING,
    /** The engine has completed its requests. */
    EMPTY,
    /** The engine loads weights from the weight store. */
    LOADING,
    /** The change is complete. */
    DONE
  }

  /**
   * Change of one engine.
   *
   * @param engine name of the engine
   * @param kind type of the change
   * @param version version to load; empty for other kinds
   * @param stage progress of the change
   */
  public record Change(String engine, Kind kind, String version, Stage stage) {}

  /**
   * Bandwidth of the weight store.
   *
   * @param bytesPerSecond total bandwidth of the store
   * @param bytesPerSecondPerEngine bandwidth that one load uses
   */
  public record WeightStore(double bytesPerSecond, double bytesPerSecondPerEngine) {
    /** Returns the number of concurrent loads at full bandwidth, at least one. */
    public int maxConcurrentLoads() {
      return (int) Math.max(1, Math.floor(bytesPerSecond / bytesPerSecondPerEngine));
    }
  }

  /** Order for the next step of a change. */
  public sealed interface Action {
    /** Order a successor in the same failure domain. */
    record Start(String failureDomain, boolean reclaimable, String replaces) implements Action {}

    /** Stop new work on an engine. */
    record Drain(String engine) implements Action {}

    /** Load a version on an empty engine. */
    record Load(String engine, String version) implements Action {}

    /** Remove an empty engine. */
    record Stop(String engine) implements Action {}
  }

  /**
   * Returns the orders that are due next.
   *
   * @param changes changes, most important first
   * @param view current state of the fleet
   * @param store bandwidth of the weight store
   * @return orders; the invoking code advances the stages as the orders take effect
   */
  public static List<Action> nextActions(List<Change> changes, FleetView view, WeightStore store) {
    List<Action> actions = new ArrayList<>();
    Map<String, FleetEngine> engines = new HashMap<>();
    view.engines().forEach(engine -> engines.put(engine.name(), engine));
    int activeLoads = count(changes, Stage.LOADING);
    int pendingLoads = 0;
    for (Change change : changes) {
      if (change.stage() != Stage.EMPTY) {
        continue;
      }
      if (change.kind() != Kind.LOAD) {
        actions.add(new Action.Stop(change.engine()));
      } else if (activeLoads < store.maxConcurrentLoads()) {
        actions.add(new Action.Load(change.engine(), change.version()));
        activeLoads++;
      } else {
        pendingLoads++;
      }
    }
    int fleetSize = (int) view.engines().stream().filter(FleetEngine::isRetained).count();
    int freeLoads =
        store.maxConcurrentLoads() - activeLoads - pendingLoads - countDrainingForLoad(changes);
    List<FleetEngine> unavailable = new ArrayList<>(unavailableEngines(changes, engines));
    for (Change change : changes) {
      FleetEngine engine = engines.get(change.engine());
      if (engine == null) {
        continue;
      }
      if (change.kind() == Kind.REPLACE && change.stage() == Stage.WAITING) {
        if (fleetSize < view.limits().getMaxBackends()) {
          actions.add(start(engine));
          fleetSize++;
        }
        continue;
      }
      boolean ready = change.stage() == Stage.WAITING || change.stage() == Stage.SUCCESSOR_SERVES;
      boolean isLoad = change.kind() == Kind.LOAD;
      if (ready && (!isLoad || freeLoads > 0) && mayDrain(engine, unavailable, view)) {
        actions.add(new Action.Drain(change.engine()));
        unavailable.add(engine);
        freeLoads -= isLoad ? 1 : 0;
      }
    }
    return actions;
  }

  /**
   * Returns whether an engine may drain. The other engines must carry the demand, and engines may
   * be unavailable in only one failure domain at a time, so that the fleet tolerates the loss of
   * another domain.
   */
  private static boolean mayDrain(
      FleetEngine engine, List<FleetEngine> unavailable, FleetView view) {
    String domain = engine.profile().failureDomain();
    Optional<FleetEngine> inOtherDomain =
        unavailable.stream().filter(e -> !e.profile().failureDomain().equals(domain)).findFirst();
    if (inOtherDomain.isPresent() || engine.state() != FleetEngine.State.SERVING) {
      return false;
    }
    long serving =
        view.engines().stream()
            .filter(e -> e.state() == FleetEngine.State.SERVING && !unavailable.contains(e))
            .count();
    FleetCapacity capacity = new FleetCapacity(engine.profile());
    return serving > 1
        && capacity.minLoadWithBestRoles(view.roleChangeForecast(), (int) serving - 1)
            <= MAX_LOAD_DURING_CHANGE;
  }

  private static List<FleetEngine> unavailableEngines(
      List<Change> changes, Map<String, FleetEngine> engines) {
    return changes.stream()
        .filter(change -> change.stage() == Stage.DRAINING || isEmptyOrLoading(change))
        .map(change -> engines.get(change.engine()))
        .filter(engine -> engine != null)
        .toList();
  }

  private static boolean isEmptyOrLoading(Change change) {
    return change.stage() == Stage.EMPTY || change.stage() == Stage.LOADING;
  }

  private static int count(List<Change> changes, Stage stage) {
    return (int) changes.stream().filter(change -> change.stage() == stage).count();
  }

  private static int countDrainingForLoad(List<Change> changes) {
    return (int)
        changes.stream()
            .filter(change -> change.kind() == Kind.LOAD && change.stage() == Stage.DRAINING)
            .count();
  }

  private static Action start(FleetEngine engine) {
    return new Action.Start(
        engine.profile().failureDomain(), engine.profile().reclaimable(), engine.name());
  }
}
