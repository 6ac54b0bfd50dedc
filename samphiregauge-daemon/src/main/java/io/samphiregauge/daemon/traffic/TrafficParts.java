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
 * @param views gives the newest control state
 * @param policy chooses backend servers
 * @param usage takes usage
 * @param crashes is told of failed backend servers
 */
public record TrafficParts(
    Settings settings,
    Clock clock,
    Incarnation self,
    Supplier<TrafficView> views,
    RoutingPolicy policy,
    UsageListener usage,
    CrashListener crashes) {}
