package io.samphiregauge.replay;

import io.samphiregauge.core.fleet.FleetSizePolicy;
import io.samphiregauge.core.fleet.RolePolicy;
import io.samphiregauge.core.route.PlacementPolicy;
import io.samphiregauge.schema.order.EngineRole;
import io.samphiregauge.schema.replay.ReplaySettings;
import java.util.List;
import java.util.function.Function;

/**
 * The functions that one replay uses.
 *
 * @param name name in the table
 * @param initialRoles roles of the engines at the start
 * @param placementPolicy choice of engines
 * @param correctReports whether entries correct lagging reports by what they sent
 * @param fairQueueing whether entries queue fairly and refuse early; false sends each request at
 *     once
 * @param rolePolicy role changes
 * @param fleetSizePolicy number of engines
 */
record PolicySet(
    String name,
    Function<ReplaySettings, List<EngineRole>> initialRoles,
    PlacementPolicy placementPolicy,
    boolean correctReports,
    boolean fairQueueing,
    RolePolicy rolePolicy,
    FleetSizePolicy fleetSizePolicy) {}
