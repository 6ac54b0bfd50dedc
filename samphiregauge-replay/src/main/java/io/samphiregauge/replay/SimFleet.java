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

/** The simulated engines, past and present. */
final class SimFleet {
  private final VirtualTime time;
  private final ReplaySettings settings;
  private final SimEngine.Listener listener;
  private final Consumer<SimEngine> onServing;
  private final List<SimEngine> engines = new ArrayList<>();
  private int ordered;

  SimFleet(
      VirtualTime time,
      ReplaySettings settings,
      SimEngine.Listener listener,
      Consumer<SimEngine> onServing) {
    this.time = time;
    this.settings = settings;
    this.listener = listener;
    this.onServing = onServing;
  }

  /** Starts with the engines of the settings; the reclaimable ones are in different domains. */
  void startAll(List<EngineRole> roles) {
    List<String> domains = settings.getFailureDomains();
    for (int i = 0; i < settings.getEngines(); i++) {
      boolean reclaimable = i >= 1 && i <= settings.getReclaimableEngines();
      add(domains.get(i % domains.size()), reclaimable, roles.get(i), FleetEngine.State.SERVING);
    }
  }

  List<SimEngine> all() {
    return engines;
  }

  List<SimEngine> present() {
    return engines.stream().filter(e -> !e.gone()).toList();
  }

  Optional<SimEngine> find(String name) {
    return engines.stream().filter(e -> !e.gone() && e.profile().name().equals(name)).findFirst();
  }

  /** Orders an engine, which serves after the time that this takes. */
  void order(String domain, boolean reclaimable) {
    SimEngine engine = add(domain, reclaimable, EngineRole.MIXED, FleetEngine.State.STARTING);
    serveLater(engine);
  }

  /** Starts the same engine again after a crash. */
  void restart(SimEngine crashed) {
    SimEngine engine =
        new SimEngine(
            time,
            settings.getEngine(),
            crashed.profile(),
            crashed.role(),
            FleetEngine.State.STARTING,
            listener);
    engines.add(engine);
    serveLater(engine);
  }

  private void serveLater(SimEngine engine) {
    time.after(
        settings.getEngine().getStartMs() * VirtualTime.US_PER_MS,
        () -> {
          if (!engine.gone()) {
            engine.serve();
            onServing.accept(engine);
          }
        });
  }

  private SimEngine add(
      String domain, boolean reclaimable, EngineRole role, FleetEngine.State state) {
    ordered++;
    EngineModel model = settings.getEngine();
    EngineProfile profile =
        new EngineProfile(
            "engine-" + ordered,
            domain,
            reclaimable,
            model.getPrefillTokensPerSecond(),
            model.getStepBaseMs(),
            model.getStepPerSequenceMs(),
            model.getSlots(),
            model.getMixedBudgetTokens(),
            model.getPrefillBudgetTokens());
    SimEngine engine = new SimEngine(time, model, profile, role, state, listener);
    engines.add(engine);
    if (state == FleetEngine.State.SERVING) {
      onServing.accept(engine);
    }
    return engine;
  }
}
