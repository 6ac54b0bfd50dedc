package io.samphiregauge.daemon.traffic;

import io.samphiregauge.core.Clock;
import io.samphiregauge.core.route.RoutingPolicy;
import io.samphiregauge.schema.config.Settings;
import io.samphiregauge.schema.record.Incarnation;
import java.util.function.Supplier;

/**
 * What the traffic side is made of.
 *
 * @param settings settings of the entry
 * @param clock monotonic clock of the process
 * @param self this process, which its tickets name
 * @param viewSupplier gives the newest control state
 * @param routingPolicy chooses backend servers
 * @param usageListener takes usage
 * @param crashListener is told of failed backend servers
 */
public record TrafficContext(
    Settings settings,
    Clock clock,
    Incarnation self,
    Supplier<TrafficView> viewSupplier,
    RoutingPolicy routingPolicy,
    UsageListener usageListener,
    CrashListener crashListener) {}
