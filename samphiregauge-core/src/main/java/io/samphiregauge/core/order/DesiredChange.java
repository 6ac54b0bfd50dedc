package io.samphiregauge.core.order;

import io.samphiregauge.schema.EngineOrder;

/**
 * Change of the fleet that a policy requests.
 *
 * @param target name of the backend server, or {@link Orders#PLATFORM}
 * @param order order that makes the change
 * @param reason reason for the decision log
 */
public record DesiredChange(String target, EngineOrder order, String reason) {}
