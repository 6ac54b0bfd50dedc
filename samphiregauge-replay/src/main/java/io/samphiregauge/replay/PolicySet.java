package io.samphiregauge.replay;

import io.samphiregauge.core.fleet.FleetSizePolicy;
import io.samphiregauge.core.fleet.RolePolicy;
import io.samphiregauge.core.route.PlacementPolicy;
import io.samphiregauge.schema.order.EngineRole;
import io.samphiregauge.schema.replay.ReplaySettings;
import java.util.List;
import java.util.function.Function;

/**
 * Policies and options of one simulated system.
 *
 * @param name name of the policy in reports
 * @param initialRoles function from the settings to the roles of the initial engines
 * @param placementPolicy policy that selects the engines of a request
 * @param correctReports whether entries correct delayed load reports by the work that they sent
 * @param fairQueueing whether entries queue requests fairly and refuse them early; if false, each
 *     request is sent on arrival
 * @param rolePolicy policy for role changes
 * @param fleetSizePolicy policy for the number of engines
 */
record PolicySet(
    String name,
    Function<ReplaySettings, List<EngineRole>> initialRoles,
    PlacementPolicy placementPolicy,
    boolean correctReports,
    boolean fairQueueing,
    RolePolicy rolePolicy,
    FleetSizePolicy fleetSizePolicy) {}
