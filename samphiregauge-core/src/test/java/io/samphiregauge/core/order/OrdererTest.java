package io.samphiregauge.core.order;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiregauge.core.Step;
import io.samphiregauge.core.log.Fold;
import io.samphiregauge.core.log.FoldStep;
import io.samphiregauge.core.log.FoldedState;
import io.samphiregauge.schema.EngineOrder;
import io.samphiregauge.schema.RecordBody;
import io.samphiregauge.schema.config.Backend;
import io.samphiregauge.schema.config.BackendKind;
import io.samphiregauge.schema.config.Configuration;
import io.samphiregauge.schema.config.Model;
import io.samphiregauge.schema.config.Withdrawal;
import io.samphiregauge.schema.order.ChangeRole;
import io.samphiregauge.schema.order.Drain;
import io.samphiregauge.schema.order.EngineRole;
import io.samphiregauge.schema.platform.OrderStatus;
import io.samphiregauge.schema.record.Ended;
import io.samphiregauge.schema.record.Incarnation;
import io.samphiregauge.schema.record.Joined;
import io.samphiregauge.schema.record.LeaseClaim;
import io.samphiregauge.schema.record.LeaseRelease;
import io.samphiregauge.schema.record.LogRecord;
import io.samphiregauge.schema.record.Note;
import io.samphiregauge.schema.record.OrderDone;
import io.samphiregauge.schema.record.OrderIntent;
import io.samphiregauge.schema.record.OrderOutcome;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/**
 * Orders must not be sent without an intent in the log, by a former lease holder, or in conflict
 * with orders of a former holder that may still arrive. The engine {@code fenced} rejects orders
 * with an old fencing token; the engine {@code unfenced} does not check the token.
 */
class OrdererTest {
  private static final String ROLE = "fleet/luzon";
  private static final Incarnation FIRST = new Incarnation("vm1", 1L, 1L);
  private static final Incarnation SECOND = new Incarnation("vm2", 1L, 1L);
  private static final EngineOrder DECODE = new ChangeRole(EngineRole.DECODE);
  private static final DesiredChange FENCED_CHANGE =
      new DesiredChange("fenced", DECODE, "forecast");
  private static final DesiredChange UNFENCED_CHANGE =
      new DesiredChange("unfenced", DECODE, "forecast");

  private FoldedState state = FoldedState.empty();
  private long sequence;
  private Orderer orderer = Orderer.of("luzon", FIRST);

  OrdererTest() {
    append(FIRST, note());
    append(FIRST, new Joined("luzon", "a", "127.0.0.1:1", "127.0.0.1:2"));
    append(SECOND, new Joined("luzon", "b", "127.0.0.1:3", "127.0.0.1:4"));
    append(FIRST, new LeaseClaim(ROLE, -1L, 10_000L));
  }

  private static Note note() {
    Configuration empty = new Configuration(List.of(), List.of(), List.of(), List.of());
    Configuration added =
        new Configuration(
            List.of(),
            List.of(new Model("m1", List.of("1"), 1L, 1L)),
            List.of(),
            List.of(engine("fenced", true), engine("unfenced", false)));
    Withdrawal none = new Withdrawal(List.of(), List.of(), List.of(), List.of(), List.of());
    return new Note(-1L, "ops", added, empty, none);
  }

  private static Backend engine(String name, boolean fenced) {
    return new Backend(
        name, BackendKind.ENGINE, "127.0.0.1:9", "a", List.of("m1"), false, fenced, 1_000);
  }

  private void append(Incarnation writer, RecordBody body) {
    FoldStep step =
        Fold.apply(state, state.upToOffset() + 1, new LogRecord(writer, ++sequence, body));
    assertThat(step.rejection()).isEmpty();
    state = step.state();
  }

  private OptionalLong token() {
    return OptionalLong.of(state.lease(ROLE).orElseThrow().getToken());
  }

  private List<OrderAction> tick(long nowMs, DesiredChange... desiredChanges) {
    return handle(new OrderEvent.Tick(state, token(), List.of(desiredChanges)), nowMs);
  }

  private List<OrderAction> handle(OrderEvent event, long nowMs) {
    Step<Orderer, OrderAction> step = orderer.handle(event, nowMs);
    orderer = step.state();
    return step.actions();
  }

  /** Appends the records that the orderer writes, and returns the orders that it sends. */
  private List<OrderAction.Send> appendWrites(List<OrderAction> actions) {
    for (OrderAction action : actions) {
      if (action instanceof OrderAction.Write write) {
        append(orderer.self(), write.body());
        if (write.body() instanceof OrderIntent intent) {
          handle(new OrderEvent.IntentRead(intent.getTarget()), 0);
        }
      }
    }
    return sends(actions);
  }

  private static List<OrderAction.Send> sends(List<OrderAction> actions) {
    return actions.stream()
        .filter(OrderAction.Send.class::isInstance)
        .map(OrderAction.Send.class::cast)
        .toList();
  }

  private void changeHolder() {
    long last = state.lease(ROLE).orElseThrow().getLastOffset();
    append(SECOND, new LeaseClaim(ROLE, last, 10_000L));
    orderer = Orderer.of("luzon", SECOND);
  }

  @Test
  void sendsAnOrderOnlyAfterItsIntentIsInTheLog() {
    assertThat(appendWrites(tick(0, FENCED_CHANGE))).isEmpty();
    List<OrderAction.Send> sent = appendWrites(tick(1, FENCED_CHANGE));
    long intent = state.upToOffset();
    assertThat(sent)
        .containsExactly(new OrderAction.Send(intent, token().getAsLong(), "fenced", DECODE));
    assertThat(tick(2, FENCED_CHANGE)).isEmpty();
  }

  @Test
  void writesOneIntentForATargetUntilItIsReadBack() {
    assertThat(tick(0, FENCED_CHANGE)).isNotEmpty();
    assertThat(tick(1, FENCED_CHANGE)).isEmpty();
  }

  @Test
  void resendsAnOrderWithoutResponseAndRecordsTheOutcomeOnce() {
    appendWrites(tick(0, FENCED_CHANGE));
    OrderAction.Send first = appendWrites(tick(1)).get(0);
    handle(new OrderEvent.OutcomeUnknown(first.intentOffset()), 100);
    assertThat(tick(101)).isEmpty();
    assertThat(sends(tick(100 + Orderer.RETRY_DELAY_MS))).containsExactly(first);
    OrderEvent response = new OrderEvent.Responded(first.intentOffset(), OrderStatus.REPEATED);
    assertThat(handle(response, 2_000))
        .containsExactly(
            new OrderAction.Write(
                new OrderDone(first.intentOffset(), token().getAsLong(), OrderOutcome.APPLIED)));
    assertThat(handle(response, 2_001)).isEmpty();
  }

  @Test
  void sendsNoOrderWithoutTheLease() {
    appendWrites(tick(0, FENCED_CHANGE));
    assertThat(handle(new OrderEvent.Tick(state, OptionalLong.empty(), List.of(FENCED_CHANGE)), 1))
        .isEmpty();
  }

  @Test
  void newHolderResendsOpenIntentsBeforeOtherOrders() {
    appendWrites(tick(0, FENCED_CHANGE));
    long intent = state.upToOffset();
    changeHolder();
    DesiredChange otherChange =
        new DesiredChange("fenced", new ChangeRole(EngineRole.PREFILL), "forecast");
    List<OrderAction> actions = tick(1, otherChange);
    assertThat(actions)
        .containsExactly(new OrderAction.Send(intent, token().getAsLong(), "fenced", DECODE));
  }

  @Test
  void unfencedEngineIsDrainedWhileFormerHolderMayStillSend() {
    appendWrites(tick(0, UNFENCED_CHANGE));
    append(FIRST, new OrderDone(state.upToOffset(), token().getAsLong(), OrderOutcome.APPLIED));
    changeHolder();
    assertThat(appendWrites(tick(1, UNFENCED_CHANGE))).isEmpty();
    assertThat(state.openIntents().values())
        .extracting(open -> open.getIntent().getOrder())
        .containsExactly(new Drain(Orderer.UNSAFE_REASON));
    assertThat(Orders.excludedBackends(state)).containsExactly("unfenced");
  }

  @Test
  void unfencedEngineReceivesOrdersAfterFormerHolderEnded() {
    appendWrites(tick(0, UNFENCED_CHANGE));
    changeHolder();
    assertThat(tick(1, UNFENCED_CHANGE)).isEmpty();
    append(SECOND, new Ended(FIRST, token().getAsLong()));
    assertThat(appendWrites(tick(2))).isEmpty();
    assertThat(state.lastOrderers().get("unfenced").getHolder()).isEqualTo(SECOND);
    assertThat(appendWrites(tick(3))).hasSize(1);
  }

  @Test
  void unfencedEngineReceivesOrdersAfterFormerHolderReleasedTheLease() {
    appendWrites(tick(0, UNFENCED_CHANGE));
    append(FIRST, new OrderDone(state.upToOffset(), token().getAsLong(), OrderOutcome.APPLIED));
    append(FIRST, new LeaseRelease(ROLE, token().getAsLong()));
    changeHolder();
    appendWrites(tick(1, UNFENCED_CHANGE));
    assertThat(appendWrites(tick(2))).extracting(OrderAction.Send::order).containsExactly(DECODE);
  }
}
