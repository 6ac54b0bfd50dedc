package io.samphiregauge.core.order;

import io.samphiregauge.schema.EngineOrder;

/**
 * A change that a policy wants.
 *
 * @param target name of the backend server, or {@link Orders#PLATFORM}
 * @param order the order that makes the change
 * @param reason why, for the log of decisions
 */
public record DesiredChange(String target, EngineOrder order, String reason) {}
