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

class TicketTableTest {
  private static final Incarnation SELF = new Incarnation("vm-1", 1_000, 7);
  private static final TicketRequest REQUEST = new TicketRequest("temple", "digest");
  private static final Failure REASON = new TicketFailure.Required();
  private static final Supplier<Optional<? extends Failure>> ADMITTED = Optional::empty;
  private static final TicketLimits LIMITS = new TicketLimits(120_000, 600_000, 4, 100, 250, 2);

  private final TicketTable<String> table = new TicketTable<>(SELF, LIMITS, 0, 1);

  /** Guards against a second run when a caller repeats its request while the first one runs. */
  @Test
  void repeatsJoinTheRunningRequestAndLaterOnesGetItsReply() {
    Ticket ticket = issue(0);
    assertThat(use(ticket, "first", 1)).isInstanceOf(TicketDecision.Run.class);
    assertThat(use(ticket, "second", 2)).isInstanceOf(TicketDecision.Join.class);
    assertThat(refused(use(ticket, "third", 3)).reason())
        .isInstanceOf(TicketFailure.TooManyRepeats.class);
    assertThat(table.markDispatched(ticket).value()).isPresent();
    Settlement<String> settlement = table.complete(ticket, response(10), 4).orElseThrow();
    assertThat(settlement.waiters()).containsExactly("first", "second");
    assertThat(use(ticket, "late", 600_004))
        .isEqualTo(new TicketDecision.Reply(settlement.reply()));
    assertThat(refused(use(ticket, "too late", 600_005)).outcome())
        .isEqualTo(Outcome.OUTCOME_UNKNOWN);
  }

  /** After its first byte was written, a request may have run and must not be written again. */
  @Test
  void aRequestIsDispatchedOnce() {
    Ticket ticket = issue(0);
    use(ticket, "caller", 1);
    assertThat(table.mayRetry(ticket)).isTrue();
    assertThat(table.markDispatched(ticket).value()).isPresent();
    assertThat(table.mayRetry(ticket)).isFalse();
    assertThat(table.markDispatched(ticket).failure())
        .contains(new TicketFailure.AlreadyDispatched(ticket.number()));
  }

  /** Guards against {@code not_run} for a request that a backend server may have run. */
  @Test
  void aFailureAfterDispatchHasAnUnknownOutcome() {
    Ticket dispatched = issue(0);
    use(dispatched, "caller", 1);
    table.markDispatched(dispatched);
    assertThat(table.fail(dispatched, REASON, 2).orElseThrow().reply().isNotRun()).isFalse();
    assertThat(table.outcome(dispatched, "temple", 2)).isEqualTo(TicketOutcome.UNKNOWN);

    Ticket waiting = issue(3);
    use(waiting, "caller", 4);
    assertThat(table.fail(waiting, REASON, 5).orElseThrow().reply().isNotRun()).isTrue();
    assertThat(table.markDispatched(waiting).value()).isEmpty();
  }

  /** Guards against running a delayed copy of a request that was refused with not_run. */
  @Test
  void aRefusalInvalidatesTheTicket() {
    Ticket ticket = issue(0);
    TicketDecision refusal = table.use(ticket, REQUEST, "caller", 1, () -> Optional.of(REASON));
    assertThat(refused(refusal)).isEqualTo(TicketReply.notRun(REASON));
    assertThat(use(ticket, "repeat", 2)).isEqualTo(refusal);
    assertThat(table.outcome(ticket, "temple", 2)).isEqualTo(TicketOutcome.NOT_RUN);
  }

  /** Guards against refusing a repeat of a request that is already running. */
  @Test
  void admissionIsCheckedOnlyOnTheFirstUse() {
    Ticket ticket = issue(0);
    use(ticket, "caller", 1);
    assertThat(table.use(ticket, REQUEST, "repeat", 2, () -> Optional.of(REASON)))
        .isInstanceOf(TicketDecision.Join.class);
  }

  /** Guards against running a request whose ticket has expired or was never issued. */
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

  /** Guards against replying to another team, or to another request with the same ticket. */
  @Test
  void aTicketBelongsToOneRequestOfOneTeam() {
    Ticket ticket = issue(0);
    use(ticket, "caller", 1);
    table.markDispatched(ticket);
    table.complete(ticket, response(1), 2);
    TicketRequest other = new TicketRequest("shop", "digest");
    assertThat(refused(table.use(ticket, other, "thief", 3, ADMITTED)).reason())
        .isInstanceOf(TicketFailure.Mismatch.class);
    assertThat(table.outcome(ticket, "shop", 3)).isEqualTo(TicketOutcome.UNKNOWN);
    assertThat(table.outcome(ticket, "temple", 3)).isEqualTo(TicketOutcome.DONE);
  }

  /** Guards against memory use that grows with the load. */
  @Test
  void aFullTableRefusesWithATypedFailure() {
    Ticket first = issue(0);
    Ticket second = issue(0);
    Ticket third = issue(0);
    issue(0);
    assertThat(table.issue(0).failure()).contains(new TicketFailure.Full("maxTickets", 4));
    use(first, "a", 1);
    use(second, "b", 1);
    assertThat(refused(use(third, "c", 1)))
        .isEqualTo(TicketReply.notRun(new TicketFailure.Full("maxTotalBytes", 250)));
    table.markDispatched(first);
    assertThat(table.complete(first, response(101), 2).orElseThrow().reply())
        .isEqualTo(
            TicketReply.outcomeUnknown(new TicketFailure.ResponseNotRecorded(first.number(), 101)));
    table.fail(second, REASON, 3);
    table.expire(700_000);
    assertThat(table.size()).isZero();
    assertThat(table.reservedBytes()).isZero();
  }

  private Ticket issue(long nowMs) {
    return table.issue(nowMs).value().orElseThrow();
  }

  private TicketDecision use(Ticket ticket, String caller, long nowMs) {
    return table.use(ticket, REQUEST, caller, nowMs, ADMITTED);
  }

  private static RecordedResponse response(int size) {
    return RecordedResponse.of(
        200, "application/json", "x".repeat(size).getBytes(StandardCharsets.UTF_8));
  }

  private static TicketReply.Refused refused(TicketDecision decision) {
    return (TicketReply.Refused) ((TicketDecision.Reply) decision).reply();
  }
}
