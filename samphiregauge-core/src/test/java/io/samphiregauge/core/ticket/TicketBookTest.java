package io.samphiregauge.core.ticket;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiregauge.core.result.Failure;
import io.samphiregauge.schema.entry.Outcome;
import io.samphiregauge.schema.entry.TicketOutcome;
import io.samphiregauge.schema.record.Incarnation;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;

class TicketBookTest {
  private static final Incarnation SELF = new Incarnation("vm-1", 1_000, 7);
  private static final TicketRequest REQUEST = new TicketRequest("temple", "digest");
  private static final Failure REASON = new TicketFailure.Required();
  private static final Supplier<Optional<? extends Failure>> ADMITTED = Optional::empty;
  private static final TicketLimits LIMITS = new TicketLimits(120_000, 600_000, 4, 100, 250, 2);

  private final TicketBook<String> book = new TicketBook<>(SELF, LIMITS, 0, 1);

  /** Guards against a second run when a caller repeats its request while the first one runs. */
  @Test
  void repeatsJoinTheRunningRequestAndLaterOnesGetItsAnswer() {
    Ticket ticket = issue(0);
    assertThat(use(ticket, "first", 1)).isInstanceOf(TicketDecision.Run.class);
    assertThat(use(ticket, "second", 2)).isInstanceOf(TicketDecision.Join.class);
    assertThat(refused(use(ticket, "third", 3)).reason())
        .isInstanceOf(TicketFailure.TooManyRepeats.class);
    assertThat(book.dispatch(ticket).value()).isPresent();
    Settlement<String> settlement = book.finish(ticket, answer(10), 4).orElseThrow();
    assertThat(settlement.waiters()).containsExactly("first", "second");
    assertThat(use(ticket, "late", 600_004))
        .isEqualTo(new TicketDecision.Reply(settlement.reply()));
    assertThat(refused(use(ticket, "too late", 600_005)).outcome())
        .isEqualTo(Outcome.OUTCOME_UNKNOWN);
  }

  /** Guards against a retry after the first byte was written. */
  @Test
  void aRequestIsDispatchedOnce() {
    Ticket ticket = issue(0);
    use(ticket, "caller", 1);
    assertThat(book.mayRetry(ticket)).isTrue();
    assertThat(book.dispatch(ticket).value()).isPresent();
    assertThat(book.mayRetry(ticket)).isFalse();
    assertThat(book.dispatch(ticket).failure())
        .contains(new TicketFailure.AlreadyDispatched(ticket.number()));
  }

  /** Guards against {@code not_run} for a request that a backend server may have run. */
  @Test
  void aFailureAfterDispatchHasAnUnknownOutcome() {
    Ticket dispatched = issue(0);
    use(dispatched, "caller", 1);
    book.dispatch(dispatched);
    assertThat(book.fail(dispatched, REASON, 2).orElseThrow().reply().isNotRun()).isFalse();
    assertThat(book.outcome(dispatched, "temple", 2)).isEqualTo(TicketOutcome.UNKNOWN);

    Ticket waiting = issue(3);
    use(waiting, "caller", 4);
    assertThat(book.fail(waiting, REASON, 5).orElseThrow().reply().isNotRun()).isTrue();
    assertThat(book.dispatch(waiting).value()).isEmpty();
  }

  /** Guards against a run by a delayed copy of a request that was refused with not_run. */
  @Test
  void aRefusalVoidsTheTicket() {
    Ticket ticket = issue(0);
    TicketDecision refusal = book.use(ticket, REQUEST, "caller", 1, () -> Optional.of(REASON));
    assertThat(refused(refusal)).isEqualTo(TicketReply.notRun(REASON));
    assertThat(use(ticket, "repeat", 2)).isEqualTo(refusal);
    assertThat(book.outcome(ticket, "temple", 2)).isEqualTo(TicketOutcome.NOT_RUN);
  }

  /** Guards against a refusal of a repeat whose request already runs. */
  @Test
  void admissionIsAskedOnlyAtTheFirstUse() {
    Ticket ticket = issue(0);
    use(ticket, "caller", 1);
    assertThat(book.use(ticket, REQUEST, "repeat", 2, () -> Optional.of(REASON)))
        .isInstanceOf(TicketDecision.Join.class);
  }

  /** Guards against a run under a ticket whose record was dropped or never existed. */
  @Test
  void aTicketWithoutRecordHasAnUnknownOutcome() {
    Ticket unused = issue(0);
    assertThat(use(unused, "in time", 120_000)).isInstanceOf(TicketDecision.Run.class);
    Ticket old = issue(120_000);
    assertThat(refused(use(old, "late", 240_001)).outcome()).isEqualTo(Outcome.OUTCOME_UNKNOWN);
    Ticket forged = new Ticket(SELF, 999_999_999, 0);
    assertThat(refused(use(forged, "caller", 240_001)).outcome())
        .isEqualTo(Outcome.OUTCOME_UNKNOWN);
  }

  /** Guards against an answer to another team, or to another request under the same ticket. */
  @Test
  void aTicketBelongsToOneRequestOfOneTeam() {
    Ticket ticket = issue(0);
    use(ticket, "caller", 1);
    book.dispatch(ticket);
    book.finish(ticket, answer(1), 2);
    TicketRequest other = new TicketRequest("shop", "digest");
    assertThat(refused(book.use(ticket, other, "thief", 3, ADMITTED)).reason())
        .isInstanceOf(TicketFailure.Mismatch.class);
    assertThat(book.outcome(ticket, "shop", 3)).isEqualTo(TicketOutcome.UNKNOWN);
    assertThat(book.outcome(ticket, "temple", 3)).isEqualTo(TicketOutcome.DONE);
  }

  /** Guards against memory that grows with the load. */
  @Test
  void aFullBookRefusesWithATypedFailure() {
    Ticket first = issue(0);
    Ticket second = issue(0);
    Ticket third = issue(0);
    issue(0);
    assertThat(book.issue(0).failure()).contains(new TicketFailure.Full("maxTickets", 4));
    use(first, "a", 1);
    use(second, "b", 1);
    assertThat(refused(use(third, "c", 1)))
        .isEqualTo(TicketReply.notRun(new TicketFailure.Full("maxTotalBytes", 250)));
    book.dispatch(first);
    assertThat(book.finish(first, answer(101), 2).orElseThrow().reply())
        .isEqualTo(TicketReply.unknown(new TicketFailure.AnswerNotKept(first.number(), 101)));
    book.fail(second, REASON, 3);
    book.expire(700_000);
    assertThat(book.size()).isZero();
    assertThat(book.heldBytes()).isZero();
  }

  private Ticket issue(long nowMs) {
    return book.issue(nowMs).value().orElseThrow();
  }

  private TicketDecision use(Ticket ticket, String caller, long nowMs) {
    return book.use(ticket, REQUEST, caller, nowMs, ADMITTED);
  }

  private static RecordedAnswer answer(int size) {
    return RecordedAnswer.of(
        200, "application/json", "x".repeat(size).getBytes(StandardCharsets.UTF_8));
  }

  private static TicketReply.Refused refused(TicketDecision decision) {
    return (TicketReply.Refused) ((TicketDecision.Reply) decision).reply();
  }
}
