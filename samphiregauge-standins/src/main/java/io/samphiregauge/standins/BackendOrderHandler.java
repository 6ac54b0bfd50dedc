package io.samphiregauge.standins;

import io.samphiregauge.schema.config.Backend;
import io.samphiregauge.schema.platform.OrderAnswer;
import io.samphiregauge.schema.platform.OrderRequest;
import io.samphiregauge.schema.platform.OrderStatus;
import io.samphiregauge.schema.standin.ReceivedOrder;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/**
 * Applies orders for backend servers and records those received. The token of an order is its
 * idempotency key: an order with the token of an applied one returns the earlier result.
 */
final class BackendOrderHandler {
  private final Map<Long, List<Backend>> backendsByToken = new HashMap<>();
  private final List<ReceivedOrder> receivedOrders = new ArrayList<>();
  private long highestToken = -1;

  /**
   * Applies an order unless its token has been applied, and records it with its status.
   *
   * @param applyOrder applies the order; returns the backend servers it started, or empty if it
   *     cannot be applied
   */
  OrderAnswer receive(
      OrderRequest request, Function<OrderRequest, Optional<List<Backend>>> applyOrder) {
    OrderAnswer response = process(request, applyOrder);
    receivedOrders.add(
        new ReceivedOrder(
            StandinServer.nowMs(), request.getToken(), request.getOrder(), response.getStatus()));
    return response;
  }

  List<ReceivedOrder> receivedOrders() {
    return List.copyOf(receivedOrders);
  }

  private OrderAnswer process(
      OrderRequest request, Function<OrderRequest, Optional<List<Backend>>> applyOrder) {
    long token = request.getToken();
    Optional<List<Backend>> earlierResult = Optional.ofNullable(backendsByToken.get(token));
    if (earlierResult.isPresent()) {
      return new OrderAnswer(OrderStatus.REPEATED, highestToken, earlierResult.get());
    }
    Optional<List<Backend>> result = applyOrder.apply(request);
    if (result.isEmpty()) {
      return new OrderAnswer(OrderStatus.UNAVAILABLE, highestToken, List.of());
    }
    backendsByToken.put(token, result.get());
    highestToken = Math.max(highestToken, token);
    return new OrderAnswer(OrderStatus.APPLIED, highestToken, result.get());
  }
}
