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
 * The holder of the lease for the fleet: decides once per digest, and orders while the log is up.
 */
final class FleetControl {
  /** Time of an append and of the order that follows it. */
  private static final long ORDER_US = 200_000;

  /** A role change takes the drain of an engine and the change itself. */
  private static final double ROLE_HORIZON_S = 12;

  private final VirtualTime time;
  private final ReplaySettings settings;
  private final PolicySet policy;
  private final SimFleet fleet;
  private final List<SimTraffic> entries;
  private final Meter meter;
  private final LoadForecast fast = LoadForecast.fast();
  private final LoadForecast slow = LoadForecast.slow();
  private RolePolicy.History roleMemory = RolePolicy.History.empty();
  private FleetSizePolicy.History fleetMemory = FleetSizePolicy.History.empty();
  private boolean logUp = true;

  FleetControl(
      VirtualTime time,
      ReplaySettings settings,
      PolicySet policy,
      SimFleet fleet,
      List<SimTraffic> entries,
      Meter meter) {
    this.time = time;
    this.settings = settings;
    this.policy = policy;
    this.fleet = fleet;
    this.entries = entries;
    this.meter = meter;
  }

  void logUp(boolean up) {
    logUp = up;
  }

  void decide() {
    Demand demand = demand();
    fast.add(demand);
    slow.add(demand);
    if (!logUp) {
      return;
    }
    double intervalS = settings.getDigestEveryMs() / 1_000.0;
    FleetView view =
        new FleetView(
            time.nowMs(),
            fleet.present().stream()
                .map(e -> new FleetEngine(e.profile(), e.plannedRole(), e.state()))
                .toList(),
            demand,
            fast.forecast(ROLE_HORIZON_S / intervalS),
            slow.forecast(settings.getEngine().getStartMs() / 1_000.0 / intervalS),
            settings.getFleet(),
            settings.getFailureDomains());
    RolePolicy.Decision roles = policy.roles().decide(roleMemory, view);
    roleMemory = roles.history();
    roles.changes().forEach(change -> time.after(ORDER_US, () -> changeRole(change)));
    FleetSizePolicy.Decision size = policy.fleet().decide(fleetMemory, view);
    fleetMemory = size.history();
    size.starts().forEach(start -> fleet.order(start.failureDomain(), start.reclaimable()));
    size.drains().forEach(name -> time.after(ORDER_US, () -> drain(name)));
  }

  private Demand demand() {
    double prefill = 0;
    double output = 0;
    for (SimTraffic entry : entries) {
      double[] taken = entry.takeDemand();
      prefill += taken[0];
      output += taken[1];
    }
    double perSecond = 1_000.0 / settings.getDigestEveryMs();
    return new Demand(prefill * perSecond, output * perSecond);
  }

  private void changeRole(RolePolicy.RoleChange change) {
    fleet
        .find(change.engine())
        .filter(e -> e.state() == FleetEngine.State.SERVING && e.role() != change.role())
        .ifPresent(
            engine -> {
              meter.roleChanges++;
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
                      engine.end();
                      entries.forEach(e -> e.entry().book.remove(name));
                    }));
  }
}
