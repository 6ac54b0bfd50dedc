package io.samphiregauge.replay;

import io.samphiregauge.core.fleet.Demand;
import io.samphiregauge.core.fleet.FleetEngine;
import io.samphiregauge.core.fleet.FleetSizePolicy;
import io.samphiregauge.core.fleet.FleetView;
import io.samphiregauge.core.fleet.LoadForecast;
import io.samphiregauge.core.fleet.RolePolicy;
import io.samphiregauge.schema.replay.ReplaySettings;
import java.util.List;

/**
 * Simulates the holder of the fleet lease: decides once per digest interval on roles and fleet
 * size, and gives orders only while the log is available.
 */
final class FleetController {
  /**
   * Time to append a decision to the log and to send the resulting order. Applies to role changes
   * and drains; engine starts are ordered without this delay.
   */
  private static final long ORDER_DELAY_US = 200_000;

  /** Forecast horizon for role changes: the drain of an engine and the change itself. */
  private static final double ROLE_CHANGE_HORIZON_S = 12;

  private final VirtualClock clock;
  private final ReplaySettings settings;
  private final PolicySet policySet;
  private final SimFleet fleet;
  private final List<SimDispatcher> dispatchers;
  private final SimMetrics metrics;
  private final LoadForecast fastForecast = LoadForecast.fast();
  private final LoadForecast slowForecast = LoadForecast.slow();
  private RolePolicy.History roleHistory = RolePolicy.History.empty();
  private FleetSizePolicy.History fleetSizeHistory = FleetSizePolicy.History.empty();
  private boolean logAvailable = true;

  FleetController(
      VirtualClock clock,
      ReplaySettings settings,
      PolicySet policySet,
      SimFleet fleet,
      List<SimDispatcher> dispatchers,
      SimMetrics metrics) {
    this.clock = clock;
    this.settings = settings;
    this.policySet = policySet;
    this.fleet = fleet;
    this.dispatchers = dispatchers;
    this.metrics = metrics;
  }

  /** Sets whether the log accepts appends; without it, demand is observed but nothing ordered. */
  void setLogAvailable(boolean available) {
    logAvailable = available;
  }

  /** Records the demand since the last call, decides and schedules the resulting orders. */
  void decide() {
    Demand demand = getAndResetDemand();
    fastForecast.add(demand);
    slowForecast.add(demand);
    if (!logAvailable) {
      return;
    }
    double intervalS = settings.getDigestEveryMs() / 1_000.0;
    FleetView view =
        new FleetView(
            clock.nowMs(),
            fleet.liveEngines().stream()
                .map(e -> new FleetEngine(e.profile(), e.targetRole(), e.state()))
                .toList(),
            demand,
            fastForecast.forecast(ROLE_CHANGE_HORIZON_S / intervalS),
            slowForecast.forecast(settings.getEngine().getStartMs() / 1_000.0 / intervalS),
            settings.getFleet(),
            settings.getFailureDomains());
    RolePolicy.Decision roles = policySet.rolePolicy().decide(roleHistory, view);
    roleHistory = roles.history();
    roles
        .changes()
        .forEach(change -> clock.scheduleAfter(ORDER_DELAY_US, () -> changeRole(change)));
    FleetSizePolicy.Decision fleetSize = policySet.fleetSizePolicy().decide(fleetSizeHistory, view);
    fleetSizeHistory = fleetSize.history();
    fleetSize.starts().forEach(start -> fleet.order(start.failureDomain(), start.reclaimable()));
    fleetSize.drains().forEach(name -> clock.scheduleAfter(ORDER_DELAY_US, () -> drain(name)));
  }

  private Demand getAndResetDemand() {
    double prefillTokens = 0;
    double outputTokens = 0;
    for (SimDispatcher dispatcher : dispatchers) {
      double[] offered = dispatcher.getAndResetDemand();
      prefillTokens += offered[0];
      outputTokens += offered[1];
    }
    double digestsPerSecond = 1_000.0 / settings.getDigestEveryMs();
    return new Demand(prefillTokens * digestsPerSecond, outputTokens * digestsPerSecond);
  }

  private void changeRole(RolePolicy.RoleChange change) {
    fleet
        .find(change.engine())
        .filter(e -> e.state() == FleetEngine.State.SERVING && e.role() != change.role())
        .ifPresent(
            engine -> {
              metrics.roleChanges++;
              engine.changeRole(change.role(), () -> {});
            });
  }

  private void drain(String name) {
    fleet
        .find(name)
        .filter(e -> e.state() == FleetEngine.State.SERVING)
        .ifPresent(
            engine ->
                engine.drain(
                    FleetEngine.State.LEAVING,
                    () -> {
                      engine.terminate();
                      dispatchers.forEach(dispatcher -> dispatcher.entry().registry.remove(name));
                    }));
  }
}
