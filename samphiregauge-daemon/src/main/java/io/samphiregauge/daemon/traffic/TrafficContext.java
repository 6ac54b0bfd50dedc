package io.samphiregauge.daemon.traffic;

import io.samphiregauge.core.Clock;
import io.samphiregauge.core.route.RoutingPolicy;
import io.samphiregauge.schema.config.Settings;
import io.samphiregauge.schema.record.Incarnation;
import java.util.function.Supplier;

/**
 * Configuration and collaborators that all event loops of a {@link TrafficServer} share.
 *
 * @param settings settings of the entry
 * @param clock monotonic clock of the process, in milliseconds
 * @param self incarnation of this process, which issued tickets name as their owner
 * @param viewSupplier supplies the latest view of the control state
 * @param routingPolicy selects a backend server among candidates
 * @param usageListener receives the usage of teams
 * @param crashListener receives engine crashes
 */
public record TrafficContext(
    Settings settings,
    Clock clock,
    Incarnation self,
    Supplier<TrafficView> viewSupplier,
    RoutingPolicy routingPolicy,
    UsageListener usageListener,
    CrashListener crashListener) {}
