package io.samphiregauge.core.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Plans drains, replacements, withdrawals and loads of versions under traffic: a few engines at a
 * time, so that the others carry the demand, and no faster than the weight store allows.
 */
public final class RollingChange {
  /** The other engines carry the demand at no more than this load while some are away. */
  private static final double MAX_LOAD_DURING_CHANGE = 0.85;

  private RollingChange() {}

  /** What is to happen to an engine. */
  public enum Kind {
    /** Loads a version. */
    LOAD,
    /** Is replaced by a new engine, which serves before this one drains. */
    REPLACE,
    /** Is given back. */
    WITHDRAW
  }

  /** How far a change is. */
  public enum Stage {
    /** Nothing has been ordered. */
    WAITING,
    /** The new engine has been ordered. */
    SUCCESSOR_ORDERED,
    /** The new engine serves. */
    SUCCESSOR_SERVES,
    /** The engine takes no new work, and its requests finish. */
    DRAINING,
    /** The engine has no work. */
    EMPTY,
    /** The engine reads from the weight store. */
    LOADING,
    /** Nothing is left to do. */
    DONE
  }

  /**
   * A change of one engine.
   *
   * @param engine name of the engine
   * @param kind what is to happen
   * @param version version to load; empty for other kinds
   * @param stage how far it is
   */
  public record Change(String engine, Kind kind, String version, Stage stage) {}

  /**
   * The weight store.
   *
   * @param bytesPerSecond its rate
   * @param bytesPerSecondPerEngine rate that one load takes
   */
  public record WeightStore(double bytesPerSecond, double bytesPerSecondPerEngine) {
    /** Returns the number of loads that run at once at full rate; at least one. */
    public int maxConcurrentLoads() {
      return (int) Math.max(1, Math.floor(bytesPerSecond / bytesPerSecondPerEngine));
    }
  }

  /** An order that follows from a plan. */
  public sealed interface Action {
    /** Orders a successor in the same failure domain. */
    record Start(String failureDomain, boolean reclaimable, String replaces) implements Action {}

    /** Stops new work on an engine. */
    record Drain(String engine) implements Action {}

    /** Loads a version on an empty engine. */
    record Load(String engine, String version) implements Action {}

    /** Gives an empty engine back. */
    record Stop(String engine) implements Action {}
  }

  /**
   * Decides what to order next.
   *
   * @param changes changes in order of their importance
   * @param view the fleet
   * @param store the weight store
   * @return orders; the caller moves the stages on as the orders take effect
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
   * Engines leave from one failure domain at a time, so that the loss of another one is bearable.
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
