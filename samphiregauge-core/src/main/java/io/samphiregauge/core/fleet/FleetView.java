package io.samphiregauge.core.fleet;

import io.samphiregauge.schema.config.FleetPolicy;
import java.util.List;

/**
 * What decisions about the fleet depend on; immutable.
 *
 * @param nowMs time
 * @param engines engines in order of their names
 * @param currentDemand offered work now
 * @param roleChangeForecast forecast for the time that a role change takes
 * @param startupForecast forecast for the time that a new engine takes
 * @param limits the operators' limits
 * @param failureDomains failure domains that engines can be ordered in
 */
public record FleetView(
    long nowMs,
    List<FleetEngine> engines,
    Demand currentDemand,
    Demand roleChangeForecast,
    Demand startupForecast,
    FleetPolicy limits,
    List<String> failureDomains) {
  /** Copies the lists. */
  public FleetView {
    engines = List.copyOf(engines);
    failureDomains = List.copyOf(failureDomains);
  }
}
