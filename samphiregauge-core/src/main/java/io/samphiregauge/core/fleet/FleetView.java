package io.samphiregauge.core.fleet;

import io.samphiregauge.schema.config.FleetPolicy;
import java.util.List;

/**
 * Input of decisions about the fleet; immutable.
 *
 * @param nowMs current time
 * @param engines engines in order of their names
 * @param currentDemand demand now
 * @param roleChangeForecast demand expected when a role change ordered now is complete
 * @param startupForecast demand expected when an engine ordered now serves
 * @param limits limits set by the operators
 * @param failureDomains failure domains in which engines can be ordered
 */
public record FleetView(
    long nowMs,
    List<FleetEngine> engines,
    Demand currentDemand,
    Demand roleChangeForecast,
    Demand startupForecast,
    FleetPolicy limits,
    List<String> failureDomains) {
  /** Makes defensive copies of the lists. */
  public FleetView {
    engines = List.copyOf(engines);
    failureDomains = List.copyOf(failureDomains);
  }
}
