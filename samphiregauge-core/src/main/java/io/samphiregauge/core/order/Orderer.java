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
 * Gives orders under the fleet lease; immutable.
 *
 * <p>Each order has an intent in the log before it is sent, and each target has one open intent at
 * a time. A new holder repeats the open intents of its region before it gives other orders to their
 * targets.
 *
 * @param region region of the lease
 * @param self the process
 * @param calls orders that were sent under the current token, by offset of the intent
 * @param writing targets whose intent is on its way into the log
 * @param token token under which {@code calls} and {@code writing} hold, or empty
 */
public record Orderer(
    String region,
    Incarnation self,
    Map<Long, Call> calls,
    Set<String> writing,
    OptionalLong token) {

  /** Time between the repeats of an order that got no answer. */
  public static final long REPEAT_MS = 1_000;

  /** Reason of the drain of an engine that cannot be given orders safely. */
  static final String UNSAFE = "previous_holder_may_still_send";

  /**
   * An order that was sent.
   *
   * @param open whether its answer is awaited
   * @param repeatAtMs when it is repeated
   * @param done whether its result is on its way into the log
   */
  public record Call(boolean open, long repeatAtMs, boolean done) {}

  /** Copies the collections. */
  public Orderer {
    calls = Collections.unmodifiableMap(new TreeMap<>(calls));
    writing = Collections.unmodifiableSet(new TreeSet<>(writing));
  }

  /**
   * Makes the orderer of a process that holds no lease.
   *
   * @param region region of the lease
   * @param self the process
   * @return the orderer
   */
  public static Orderer of(String region, Incarnation self) {
    return new Orderer(region, self, Map.of(), Set.of(), OptionalLong.empty());
  }

  /**
   * Takes an event.
   *
   * @param event the event
   * @param nowMs current time
   * @return the next orderer, and what to do
   */
  public Step<Orderer, OrderAction> on(OrderEvent event, long nowMs) {
    if (event instanceof OrderEvent.Tick tick) {
      return tick.token().isPresent()
          ? under(tick.token()).act(tick, nowMs)
          : Step.to(under(tick.token()));
    }
    if (event instanceof OrderEvent.Answered answered) {
      return finish(answered.intentOffset(), answered.status());
    }
    if (event instanceof OrderEvent.Unanswered unanswered) {
      return Step.to(
          withCall(unanswered.intentOffset(), new Call(false, nowMs + REPEAT_MS, false)));
    }
    return Step.to(written(((OrderEvent.IntentRead) event).target()));
  }

  /**
   * Tells when the orderer next needs a tick.
   *
   * @return the time, or empty where only an event changes anything
   */
  public OptionalLong deadlineMs() {
    return calls.values().stream()
        .filter(call -> !call.open() && !call.done())
        .mapToLong(Call::repeatAtMs)
        .min();
  }

  /** What was sent under another token is unknown under this one. */
  private Orderer under(OptionalLong next) {
    return next.equals(token) ? this : new Orderer(region, self, Map.of(), Set.of(), next);
  }

  private Step<Orderer, OrderAction> act(OrderEvent.Tick tick, long nowMs) {
    FoldedState state = tick.state();
    List<OrderAction> actions = new ArrayList<>();
    Map<Long, Call> nextCalls = new TreeMap<>(calls);
    nextCalls.keySet().retainAll(state.openIntents().keySet());
    Set<String> taken = new TreeSet<>();
    Set<String> nextWriting = new TreeSet<>(writing);
    for (OpenIntent open : state.openIntents().values()) {
      boolean first = isOfRegion(open) && taken.add(open.getIntent().getTarget());
      if (!first || !isDue(open, nowMs) || !Orders.isSafe(state, target(open), self)) {
        continue;
      }
      if (Orders.checksTokens(state, target(open)) || isLastOrderer(state, target(open))) {
        nextCalls.put(open.getOffset(), new Call(true, nowMs, false));
        actions.add(send(open));
      } else if (nextWriting.add(target(open))) {
        actions.add(takeOver(open));
      }
    }
    intend(tick, taken, nextWriting, actions);
    return new Step<>(new Orderer(region, self, nextCalls, nextWriting, token), actions);
  }

  private boolean isDue(OpenIntent open, long nowMs) {
    Call call = calls.getOrDefault(open.getOffset(), new Call(false, nowMs, false));
    return !call.open() && !call.done() && nowMs >= call.repeatAtMs();
  }

  private boolean isOfRegion(OpenIntent open) {
    return open.getIntent().getRegion().filter(r -> !r.equals(region)).isEmpty();
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
   * Writes the same intent anew before the order of an earlier holder is repeated to an engine that
   * ignores tokens. Otherwise the next holder would not know that this one sent orders, too.
   */
  private OrderAction takeOver(OpenIntent open) {
    return write(
        new OrderIntent(target(open), token.orElseThrow(), open.getIntent().getOrder(), region));
  }

  private static String target(OpenIntent open) {
    return open.getIntent().getTarget();
  }

  private OrderAction send(OpenIntent open) {
    OrderIntent intent = open.getIntent();
    return new OrderAction.Send(
        open.getOffset(), token.orElseThrow(), intent.getTarget(), intent.getOrder());
  }

  private void intend(
      OrderEvent.Tick tick, Set<String> taken, Set<String> busy, List<OrderAction> actions) {
    for (Wish wish : tick.wishes()) {
      if (taken.contains(wish.target()) || !busy.add(wish.target())) {
        continue;
      }
      boolean safe = Orders.isSafe(tick.state(), wish.target(), self);
      EngineOrder order = safe ? wish.order() : new Drain(UNSAFE);
      String reason = safe ? wish.reason() : UNSAFE;
      actions.add(new OrderAction.Decided(wish.target(), kind(order), reason));
      actions.add(write(new OrderIntent(wish.target(), token.orElseThrow(), order, region)));
    }
  }

  private Step<Orderer, OrderAction> finish(long offset, OrderStatus status) {
    if (token.isEmpty() || !calls.containsKey(offset) || calls.get(offset).done()) {
      return Step.to(this);
    }
    boolean applied = status == OrderStatus.APPLIED || status == OrderStatus.REPEATED;
    OrderOutcome outcome = applied ? OrderOutcome.APPLIED : OrderOutcome.REFUSED;
    return Step.to(
        withCall(offset, new Call(false, Long.MAX_VALUE, true)),
        write(new OrderDone(offset, token.getAsLong(), outcome)));
  }

  private Orderer written(String target) {
    Set<String> next = new TreeSet<>(writing);
    next.remove(target);
    return new Orderer(region, self, calls, next, token);
  }

  private Orderer withCall(long offset, Call call) {
    if (!calls.containsKey(offset) || calls.get(offset).done()) {
      return this;
    }
    Map<Long, Call> next = new TreeMap<>(calls);
    next.put(offset, call);
    return new Orderer(region, self, next, writing, token);
  }

  private static OrderAction write(RecordBody body) {
    return new OrderAction.Write(body);
  }

  private static String kind(EngineOrder order) {
    return order.getClass().getSimpleName();
  }
}
