package io.samphiregauge.verify;

import io.samphiregauge.schema.EngineOrder;
import io.samphiregauge.schema.platform.OrderStatus;
import java.util.HashSet;
import java.util.Set;

/**
 * Simulates a recipient of orders: an engine that checks fencing tokens, an engine that ignores
 * them, or the platform, which recognizes repeated orders by their key.
 */
final class SimulatedOrderTarget {
  /** How a target checks an order. */
  enum Kind {
    CHECKS_TOKENS,
    IGNORES_TOKENS,
    PLATFORM
  }

  private final String name;
  private final Kind kind;
  private final FaultSimulation simulation;
  private final InjectionPoints injectionPoints;
  private final Set<Long> seenOffsets = new HashSet<>();
  private long highestSeenToken = -1;

  SimulatedOrderTarget(
      String name, Kind kind, FaultSimulation simulation, InjectionPoints injectionPoints) {
    this.name = name;
    this.kind = kind;
    this.simulation = simulation;
    this.injectionPoints = injectionPoints;
  }

  /** Receives an order, whose intent offset is its fencing token and its idempotency key. */
  OrderStatus apply(long intentOffset, EngineOrder order) {
    OrderStatus status = evaluate(intentOffset);
    seenOffsets.add(intentOffset);
    highestSeenToken = Math.max(highestSeenToken, intentOffset);
    simulation.trace(
        () ->
            "%s receives %s %d: %s"
                .formatted(name, order.getClass().getSimpleName(), intentOffset, status));
    if (status == OrderStatus.APPLIED) {
      simulation.observe(new Observation.OrderApplied(name, intentOffset, order));
    }
    return status;
  }

  private OrderStatus evaluate(long intentOffset) {
    boolean repeat = seenOffsets.contains(intentOffset);
    if (kind == Kind.PLATFORM) {
      return repeat ? OrderStatus.REPEATED : OrderStatus.APPLIED;
    }
    if (kind == Kind.CHECKS_TOKENS
        && !injectionPoints.fencingCheck.accepts(highestSeenToken, intentOffset)) {
      return OrderStatus.STALE_TOKEN;
    }
    return repeat && intentOffset == highestSeenToken ? OrderStatus.REPEATED : OrderStatus.APPLIED;
  }
}
