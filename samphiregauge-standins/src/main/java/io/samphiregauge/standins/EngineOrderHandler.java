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

/** Orders that arrived, and the highest fencing token among those that took effect. */
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
   * Answers an order.
   *
   * @param apply applies the order, and tells whether that was possible
   */
  OrderAnswer receive(OrderRequest request, Predicate<EngineOrder> apply) {
    OrderStatus status = process(request, apply);
    receivedOrders.add(
        new ReceivedOrder(StandinServer.nowMs(), request.getToken(), request.getOrder(), status));
    return new OrderAnswer(status, highestToken, List.of());
  }

  long highestToken() {
    return highestToken;
  }

  List<ReceivedOrder> receivedOrders() {
    return List.copyOf(receivedOrders);
  }

  private OrderStatus process(OrderRequest request, Predicate<EngineOrder> apply) {
    long token = request.getToken();
    if (checksFencing && token < highestToken) {
      return OrderStatus.STALE_TOKEN;
    }
    if (checksFencing && appliedTokens.contains(token)) {
      return OrderStatus.REPEATED;
    }
    if (!apply.test(request.getOrder())) {
      return OrderStatus.UNAVAILABLE;
    }
    appliedTokens.add(token);
    highestToken = Math.max(highestToken, token);
    return OrderStatus.APPLIED;
  }
}
