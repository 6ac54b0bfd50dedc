package io.samphiregauge.core.order;

import io.samphiregauge.core.Step;
import io.samphiregauge.core.log.FoldedState;
import io.samphiregauge.schema.EngineOrder;
import io.samphiregauge.schema.RecordBody;
import io.samphiregauge.schema.order.Drain;
import io.samphiregauge.schema.platform.OrderStatus;
import io.samphiregauge.schema.record.Incarnation;
import io.samphiregauge.schema.record.LastOrderer;
import io.samphiregauge.schema.record.OpenIntent;
import io.samphiregauge.schema.record.OrderDone;
import io.samphiregauge.schema.record.OrderIntent;
import io.samphiregauge.schema.record.OrderOutcome;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Sends orders under the fleet lease; immutable.
 *
 * <p>The intent of each order is in the log before the order is sent, and each target has at most
 * one open intent. A new lease holder resends the orders of its region's open intents before it
 * sends other orders to their targets.
 *
 * @param region region of the lease
 * @param self incarnation of the process
 * @param sentOrders orders that were sent under {@code token}, by offset of their intent
 * @param pendingTargets targets whose intent was submitted to the log but has not been read back
 *     yet
 * @param token fencing token of the lease, or empty if this process may not act under it
 */
public record Orderer(
    String region,
    Incarnation self,
    Map<Long, SentOrder> sentOrders,
    Set<String> pendingTargets,
    OptionalLong token) {

  /** Delay before an order without a response is resent. */
  public static final long RETRY_DELAY_MS = 1_000;

  /** Reason for draining an engine to which a previous lease holder may still send orders. */
  static final String UNSAFE_REASON = "previous_holder_may_still_send";

  /**
   * State of an order that was sent.
   *
   * @param awaitingResponse whether the response is still awaited
   * @param retryAtMs time at which the order is resent
   * @param outcomeSubmitted whether the outcome was submitted to the log writer
   */
  public record SentOrder(boolean awaitingResponse, long retryAtMs, boolean outcomeSubmitted) {}

  /** Makes defensive copies of the collections. */
  public Orderer {
    sentOrders = Collections.unmodifiableMap(new TreeMap<>(sentOrders));
    pendingTargets = Collections.unmodifiableSet(new TreeSet<>(pendingTargets));
  }

  /**
   * Creates the orderer of a process that does not hold the lease.
   *
   * @param region region of the lease
   * @param self incarnation of the process
   * @return the orderer
   */
  public static Orderer of(String region, Incarnation self) {
    return new Orderer(region, self, Map.of(), Set.of(), OptionalLong.empty());
  }

  /**
   * Handles an event.
   *
   * @param event the event
   * @param nowMs current time
   * @return the next orderer, and the actions to perform
   */
  public Step<Orderer, OrderAction> handle(OrderEvent event, long nowMs) {
    if (event instanceof OrderEvent.Tick tick) {
      return tick.token().isPresent()
          ? withToken(tick.token()).handleTick(tick, nowMs)
          : Step.to(withToken(tick.token()));
    }
    if (event instanceof OrderEvent.Responded responded) {
      return recordOutcome(responded.intentOffset(), responded.status());
    }
    if (event instanceof OrderEvent.OutcomeUnknown unknown) {
      return Step.to(
          withSentOrder(
              unknown.intentOffset(), new SentOrder(false, nowMs + RETRY_DELAY_MS, false)));
    }
    return Step.to(withIntentRead(((OrderEvent.IntentRead) event).target()));
  }

  /**
   * Returns when the orderer next needs a tick.
   *
   * @return the time, or empty if only another event can make something due
   */
  public OptionalLong deadlineMs() {
    return sentOrders.values().stream()
        .filter(sentOrder -> !sentOrder.awaitingResponse() && !sentOrder.outcomeSubmitted())
        .mapToLong(SentOrder::retryAtMs)
        .min();
  }

  /** Discards the state of sent orders and pending intents if the token has changed. */
  private Orderer withToken(OptionalLong nextToken) {
    return nextToken.equals(token)
        ? this
        : new Orderer(region, self, Map.of(), Set.of(), nextToken);
  }

  private Step<Orderer, OrderAction> handleTick(OrderEvent.Tick tick, long nowMs) {
    FoldedState state = tick.state();
    List<OrderAction> actions = new ArrayList<>();
    Map<Long, SentOrder> nextSentOrders = new TreeMap<>(sentOrders);
    nextSentOrders.keySet().retainAll(state.openIntents().keySet());
    Set<String> targetsWithOpenIntent = new TreeSet<>();
    Set<String> nextPendingTargets = new TreeSet<>(pendingTargets);
    for (OpenIntent openIntent : state.openIntents().values()) {
      boolean firstForTarget =
          isInRegion(openIntent) && targetsWithOpenIntent.add(openIntent.getIntent().getTarget());
      if (!firstForTarget
          || !isDue(openIntent, nowMs)
          || !Orders.isSafe(state, target(openIntent), self)) {
        continue;
      }
      if (Orders.checksTokens(state, target(openIntent))
          || isLastOrderer(state, target(openIntent))) {
        nextSentOrders.put(openIntent.getOffset(), new SentOrder(true, nowMs, false));
        actions.add(send(openIntent));
      } else if (nextPendingTargets.add(target(openIntent))) {
        actions.add(rewriteIntent(openIntent));
      }
    }
    writeIntents(tick, targetsWithOpenIntent, nextPendingTargets, actions);
    return new Step<>(
        new Orderer(region, self, nextSentOrders, nextPendingTargets, token), actions);
  }

  private boolean isDue(OpenIntent openIntent, long nowMs) {
    SentOrder sentOrder =
        sentOrders.getOrDefault(openIntent.getOffset(), new SentOrder(false, nowMs, false));
    return !sentOrder.awaitingResponse()
        && !sentOrder.outcomeSubmitted()
        && nowMs >= sentOrder.retryAtMs();
  }

  private boolean isInRegion(OpenIntent openIntent) {
    return openIntent
        .getIntent()
        .getRegion()
        .filter(intentRegion -> !intentRegion.equals(region))
        .isEmpty();
  }

  private boolean isLastOrderer(FoldedState state, String target) {
    return Optional.ofNullable(state.lastOrderers().get(target))
        .filter(last -> last.getHolder().equals(self) && token.equals(tokenOf(last)))
        .isPresent();
  }

  private static OptionalLong tokenOf(LastOrderer last) {
    return OptionalLong.of(last.getToken());
  }

  /**
   * Writes an intent again under the current token, before the order of an earlier holder is resent
   * to an engine that does not check tokens. The log then tells the next holder that this process
   * may have sent the order, too.
   */
  private OrderAction rewriteIntent(OpenIntent openIntent) {
    return write(
        new OrderIntent(
            target(openIntent), token.orElseThrow(), openIntent.getIntent().getOrder(), region));
  }

  private static String target(OpenIntent openIntent) {
    return openIntent.getIntent().getTarget();
  }

  private OrderAction send(OpenIntent openIntent) {
    OrderIntent intent = openIntent.getIntent();
    return new OrderAction.Send(
        openIntent.getOffset(), token.orElseThrow(), intent.getTarget(), intent.getOrder());
  }

  private void writeIntents(
      OrderEvent.Tick tick,
      Set<String> targetsWithOpenIntent,
      Set<String> nextPendingTargets,
      List<OrderAction> actions) {
    for (DesiredChange change : tick.desiredChanges()) {
      if (targetsWithOpenIntent.contains(change.target())
          || !nextPendingTargets.add(change.target())) {
        continue;
      }
      boolean safe = Orders.isSafe(tick.state(), change.target(), self);
      EngineOrder order = safe ? change.order() : new Drain(UNSAFE_REASON);
      String reason = safe ? change.reason() : UNSAFE_REASON;
      actions.add(new OrderAction.DecisionMade(change.target(), orderType(order), reason));
      actions.add(write(new OrderIntent(change.target(), token.orElseThrow(), order, region)));
    }
  }

  private Step<Orderer, OrderAction> recordOutcome(long intentOffset, OrderStatus status) {
    if (token.isEmpty()
        || !sentOrders.containsKey(intentOffset)
        || sentOrders.get(intentOffset).outcomeSubmitted()) {
      return Step.to(this);
    }
    boolean applied = status == OrderStatus.APPLIED || status == OrderStatus.REPEATED;
    OrderOutcome outcome = applied ? OrderOutcome.APPLIED : OrderOutcome.REFUSED;
    return Step.to(
        withSentOrder(intentOffset, new SentOrder(false, Long.MAX_VALUE, true)),
        write(new OrderDone(intentOffset, token.getAsLong(), outcome)));
  }

  private Orderer withIntentRead(String target) {
    Set<String> nextPendingTargets = new TreeSet<>(pendingTargets);
    nextPendingTargets.remove(target);
    return new Orderer(region, self, sentOrders, nextPendingTargets, token);
  }

  private Orderer withSentOrder(long intentOffset, SentOrder sentOrder) {
    if (!sentOrders.containsKey(intentOffset) || sentOrders.get(intentOffset).outcomeSubmitted()) {
      return this;
    }
    Map<Long, SentOrder> nextSentOrders = new TreeMap<>(sentOrders);
    nextSentOrders.put(intentOffset, sentOrder);
    return new Orderer(region, self, nextSentOrders, pendingTargets, token);
  }

  private static OrderAction write(RecordBody body) {
    return new OrderAction.Write(body);
  }

  private static String orderType(EngineOrder order) {
    return order.getClass().getSimpleName();
  }
}
