package io.samphiregauge.core.site;

import java.util.Optional;

/**
 * A service that backend servers provide.
 *
 * @param name name of the service
 * @param engine capacity of its model engines, or empty if it has none
 * @param scaling scaling limits, or empty if its servers cannot be ordered
 */
public record ServiceSpec(
    String name, Optional<EngineSpec> engine, Optional<ScalingSpec> scaling) {}
