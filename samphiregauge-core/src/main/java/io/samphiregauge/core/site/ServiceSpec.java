package io.samphiregauge.core.site;

import java.util.Optional;

/**
 * A service that backend servers offer.
 *
 * @param name name of the service
 * @param engine what its model engines have in common, if it has any
 * @param scaling bounds of its size, if its servers can be ordered
 */
public record ServiceSpec(
    String name, Optional<EngineSpec> engine, Optional<ScalingSpec> scaling) {}
