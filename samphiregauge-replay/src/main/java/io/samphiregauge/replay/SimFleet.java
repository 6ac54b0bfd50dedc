package io.samphiregauge.replay;

import io.samphiregauge.core.engine.EngineProfile;
import io.samphiregauge.core.fleet.FleetEngine;
import io.samphiregauge.schema.order.EngineRole;
import io.samphiregauge.schema.replay.EngineModel;
import io.samphiregauge.schema.replay.ReplaySettings;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** Starts the simulated engines, and keeps them after their termination for the cost. */
final class SimFleet {
  private final VirtualClock clock;
  private final ReplaySettings settings;
  private final SimEngine.Listener listener;
  private final Consumer<SimEngine> onServing;
  private final List<SimEngine> engines = new ArrayList<>();
  private int orderCount;

  SimFleet(
      VirtualClock clock,
      ReplaySettings settings,
      SimEngine.Listener listener,
      Consumer<SimEngine> onServing) {
    this.clock = clock;
    this.settings = settings;
    this.listener = listener;
    this.onServing = onServing;
  }

  /**
   * Adds the engines of the settings, which serve immediately. The first engine is on-demand and
   * the reclaimable ones follow it, so that they are spread over the failure domains.
   *
   * @param roles roles of the engines
   */
  void startInitialEngines(List<EngineRole> roles) {
    List<String> domains = settings.getFailureDomains();
    for (int i = 0; i < settings.getEngines(); i++) {
      boolean reclaimable = i >= 1 && i <= settings.getReclaimableEngines();
      addEngine(
          domains.get(i % domains.size()), reclaimable, roles.get(i), FleetEngine.State.SERVING);
    }
  }

  /** Returns all engines, terminated ones included, in order of their start. */
  List<SimEngine> allEngines() {
    return engines;
  }

  /** Returns the engines that have not terminated, including those that start or drain. */
  List<SimEngine> liveEngines() {
    return engines.stream().filter(e -> !e.isTerminated()).toList();
  }

  /** Returns the engine of this name, unless it has terminated. */
  Optional<SimEngine> find(String name) {
    return engines.stream()
        .filter(e -> !e.isTerminated() && e.profile().name().equals(name))
        .findFirst();
  }

  /** Orders a mixed engine, which serves after {@code startMs}. */
  void order(String domain, boolean reclaimable) {
    SimEngine engine = addEngine(domain, reclaimable, EngineRole.MIXED, FleetEngine.State.STARTING);
    scheduleStart(engine);
  }

  /** Starts a replacement with the same name and role for a crashed engine. */
  void restart(SimEngine crashed) {
    SimEngine replacement =
        new SimEngine(
            clock,
            settings.getEngine(),
            crashed.profile(),
            crashed.role(),
            FleetEngine.State.STARTING,
            listener);
    engines.add(replacement);
    scheduleStart(replacement);
  }

  private void scheduleStart(SimEngine engine) {
    clock.scheduleAfter(
        settings.getEngine().getStartMs() * VirtualClock.US_PER_MS,
        () -> {
          if (!engine.isTerminated()) {
            engine.startServing();
            onServing.accept(engine);
          }
        });
  }

  private SimEngine addEngine(
      String domain, boolean reclaimable, EngineRole role, FleetEngine.State state) {
    orderCount++;
    EngineModel model = settings.getEngine();
    EngineProfile profile =
        new EngineProfile(
            "engine-" + orderCount,
            domain,
            reclaimable,
            model.getPrefillTokensPerSecond(),
            model.getStepBaseMs(),
            model.getStepPerSequenceMs(),
            model.getSlots(),
            model.getMixedBudgetTokens(),
            model.getPrefillBudgetTokens());
    SimEngine engine = new SimEngine(clock, model, profile, role, state, listener);
    engines.add(engine);
    if (state == FleetEngine.State.SERVING) {
      onServing.accept(engine);
    }
    return engine;
  }
}
