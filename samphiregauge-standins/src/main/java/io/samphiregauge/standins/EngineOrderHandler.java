package io.samphiregauge.standins;

import io.samphiregauge.schema.EngineOrder;
import io.samphiregauge.schema.platform.OrderAnswer;
import io.samphiregauge.schema.platform.OrderRequest;
import io.samphiregauge.schema.platform.OrderStatus;
import io.samphiregauge.schema.standin.ReceivedOrder;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Applies orders to an engine, checks their fencing tokens if configured to, and records the orders
 * received.
 */
final class EngineOrderHandler {
  private static final long NO_TOKEN = -1;

  private final boolean checksFencing;
  private final List<ReceivedOrder> receivedOrders = new ArrayList<>();
  private final Set<Long> appliedTokens = new HashSet<>();
  private long highestToken = NO_TOKEN;

  EngineOrderHandler(boolean checksFencing) {
    this.checksFencing = checksFencing;
  }

  /**
   * Applies an order unless its token is stale or has been applied, and records it with its status.
   *
   * @param applyOrder applies the order; returns false if it cannot be applied
   */
  OrderAnswer receive(OrderRequest request, Predicate<EngineOrder> applyOrder) {
    OrderStatus status = process(request, applyOrder);
    receivedOrders.add(
        new ReceivedOrder(StandinServer.nowMs(), request.getToken(), request.getOrder(), status));
    return new OrderAnswer(status, highestToken, List.of());
  }

  /** Returns the highest fencing token of the applied orders, or -1 if there is none. */
  long highestToken() {
    return highestToken;
  }

  List<ReceivedOrder> receivedOrders() {
    return List.copyOf(receivedOrders);
  }

  private OrderStatus process(OrderRequest request, Predicate<EngineOrder> applyOrder) {
    long token = request.getToken();
    if (checksFencing && token < highestToken) {
      return OrderStatus.STALE_TOKEN;
    }
    if (checksFencing && appliedTokens.contains(token)) {
      return OrderStatus.REPEATED;
    }
    if (!applyOrder.test(request.getOrder())) {
      return OrderStatus.UNAVAILABLE;
    }
    appliedTokens.add(token);
    highestToken = Math.max(highestToken, token);
    return OrderStatus.APPLIED;
  }
}
