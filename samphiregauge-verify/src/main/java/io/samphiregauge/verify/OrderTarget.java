package io.samphiregauge.verify;

import io.samphiregauge.schema.EngineOrder;
import io.samphiregauge.schema.platform.OrderStatus;
import java.util.HashSet;
import java.util.Set;

/**
 * What takes orders: an engine that checks fencing tokens, an engine that ignores them, or the
 * platform, which knows repeats by their key.
 */
final class OrderTarget {
  /** How a target treats an order. */
  enum Kind {
    CHECKS_TOKENS,
    IGNORES_TOKENS,
    PLATFORM
  }

  private final String name;
  private final Kind kind;
  private final World world;
  private final Seams seams;
  private final Set<Long> seen = new HashSet<>();
  private long highestSeen = -1;

  OrderTarget(String name, Kind kind, World world, Seams seams) {
    this.name = name;
    this.kind = kind;
    this.world = world;
    this.seams = seams;
  }

  OrderStatus take(long intentOffset, EngineOrder order) {
    OrderStatus status = judge(intentOffset);
    seen.add(intentOffset);
    highestSeen = Math.max(highestSeen, intentOffset);
    world.trace(
        () ->
            "%s gets %s %d: %s"
                .formatted(name, order.getClass().getSimpleName(), intentOffset, status));
    if (status == OrderStatus.APPLIED) {
      world.observe(new Observation.OrderApplied(name, intentOffset, order));
    }
    return status;
  }

  private OrderStatus judge(long intentOffset) {
    boolean repeat = seen.contains(intentOffset);
    if (kind == Kind.PLATFORM) {
      return repeat ? OrderStatus.REPEATED : OrderStatus.APPLIED;
    }
    if (kind == Kind.CHECKS_TOKENS && !seams.fencing.takes(highestSeen, intentOffset)) {
      return OrderStatus.STALE_TOKEN;
    }
    return repeat && intentOffset == highestSeen ? OrderStatus.REPEATED : OrderStatus.APPLIED;
  }
}
