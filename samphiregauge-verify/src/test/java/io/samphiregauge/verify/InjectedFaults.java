package io.samphiregauge.verify;

import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.Step;
import io.samphiregauge.core.lease.LeaseAgent;
import io.samphiregauge.core.lease.LeaseTimes;
import io.samphiregauge.core.log.Fold;
import io.samphiregauge.core.log.FoldStep;
import io.samphiregauge.core.log.FoldedState;
import io.samphiregauge.core.log.LogReader;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.core.suspect.SuspicionLevel;
import io.samphiregauge.core.ticket.Ticket;
import io.samphiregauge.core.ticket.TicketDecision;
import io.samphiregauge.core.ticket.TicketFailure;
import io.samphiregauge.core.ticket.TicketReply;
import io.samphiregauge.core.ticket.TicketRoute;
import io.samphiregauge.schema.peer.RecordAt;
import io.samphiregauge.schema.platform.RecordsPage;
import io.samphiregauge.schema.record.LeaseState;
import io.samphiregauge.schema.record.LogRecord;
import io.samphiregauge.schema.record.Note;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;

/** Faults that the invariants must detect; each replaces calls to the state machines. */
final class InjectedFaults {
  /** Applies one record to a folded state. */
  @FunctionalInterface
  interface RecordFold {
    FoldStep apply(FoldedState state, long offset, LogRecord record);
  }

  /** Schedules within which a fault must be detected; a tenth of those that CI runs. */
  private static final long MAX_SCHEDULES = 200;

  /** Limit for a fault that shows only if two rare events coincide; half of the schedules in CI. */
  private static final long MAX_SCHEDULES_IF_RARE = 1_000;

  /** A fault, the schedules within which it must be detected, and the invariants that may do so. */
  record InjectedFault(
      String name,
      long maxSchedules,
      List<String> detectedBy,
      Consumer<InjectionPoints> injection) {
    @Override
    public String toString() {
      return name;
    }
  }

  static final List<InjectedFault> ALL =
      List.of(
          new InjectedFault(
              "count the lease from the answer",
              MAX_SCHEDULES_IF_RARE,
              List.of("one_holder"),
              points -> points.leaseStart = (firstSentAt, now) -> Optional.of(now)),
          new InjectedFault(
              "no clock margin",
              MAX_SCHEDULES,
              List.of("one_holder"),
              points -> points.leaseTokenSource = InjectedFaults::tokenWithoutMargin),
          new InjectedFault(
              "act after expiry",
              MAX_SCHEDULES,
              List.of("one_holder"),
              points -> points.leaseTokenSource = (agent, now) -> ownToken(agent)),
          new InjectedFault(
              "retry a non-idempotent request",
              MAX_SCHEDULES,
              List.of("runs_at_most_once"),
              points -> {
                points.retryCheck = (table, ticket) -> true;
                points.dispatchCheck =
                    (table, ticket) ->
                        table.markDispatched(ticket).fold(marked -> true, failure -> true);
              }),
          new InjectedFault(
              "run a ticket at another incarnation",
              MAX_SCHEDULES,
              List.of("runs_at_most_once", "not_run_is_true"),
              InjectedFaults::runWithoutOwner),
          new InjectedFault(
              "answer not_run after dispatch",
              MAX_SCHEDULES,
              List.of("not_run_is_true", "runs_at_most_once"),
              points -> points.replyFilter = InjectedFaults::reportUnknownResultAsNotRun),
          new InjectedFault(
              "say not_run for a ticket without record",
              MAX_SCHEDULES,
              List.of("not_run_is_true", "runs_at_most_once"),
              points -> points.replyFilter = InjectedFaults::reportMissingOwnerAsNotRun),
          new InjectedFault(
              "take over a state older than the one shown",
              MAX_SCHEDULES,
              List.of("never_reverts"),
              points ->
                  points.stateRestorer =
                      (reader, checkpoint) -> {
                        FoldedState state = Fold.restore(checkpoint);
                        return Result.success(
                            Step.to(
                                new LogReader(state, Optional.empty()),
                                new LogReader.ReadOutcome.Restored(state)));
                      }),
          new InjectedFault(
              "skip the note-offset check",
              MAX_SCHEDULES,
              List.of("withdrawn_key_refused", "never_reverts", "same_fold"),
              points ->
                  points.pageReader =
                      (reader, page) -> fold(reader, page, InjectedFaults::acceptAnyNote)),
          new InjectedFault(
              "serve without a fresh configuration",
              MAX_SCHEDULES,
              List.of("withdrawn_key_refused"),
              points -> points.freshnessCheck = (freshness, now) -> true),
          new InjectedFault(
              "drop the fencing check",
              MAX_SCHEDULES,
              List.of("orders_in_sequence"),
              points -> points.fencingCheck = (highestSeenToken, fencingToken) -> true),
          new InjectedFault(
              "skip the isolation of a suspect",
              MAX_SCHEDULES,
              List.of("neighbours_not_condemned", "at_most_two_crashes"),
              points ->
                  points.engineStartCheck =
                      (view, fingerprint, engine) ->
                          view.level(fingerprint) != SuspicionLevel.BLOCKED));

  private InjectedFaults() {}

  private static OptionalLong ownToken(LeaseAgent agent) {
    return agent
        .lastLease()
        .filter(lease -> !lease.isReleased() && lease.getHolder().equals(agent.self()))
        .map(lease -> OptionalLong.of(lease.getToken()))
        .orElse(OptionalLong.empty());
  }

  /**
   * Extends the validity of a lease by the holder's and by a claimant's margin, as would be safe
   * only if clocks had no rate error.
   */
  private static OptionalLong tokenWithoutMargin(LeaseAgent agent, DualTimestamp now) {
    long durationMs = agent.lastLease().map(LeaseState::getDurationMs).orElse(0L);
    long marginMs = 2 * durationMs / LeaseTimes.CLOCK_RATE_MARGIN;
    return agent.validity().filter(span -> now.monotonicMs() < span.endMs() + marginMs).isPresent()
        ? ownToken(agent)
        : OptionalLong.empty();
  }

  /** Treats every ticket as local, and runs one without a record under a new ticket. */
  private static void runWithoutOwner(InjectionPoints points) {
    points.ticketRouter = (ticket, self, state, forwarded) -> new TicketRoute.Local(ticket);
    points.ticketUse =
        (table, ticket, request, waiter, nowMs, admission) -> {
          TicketDecision decision = table.use(ticket, request, waiter, nowMs, admission);
          Optional<Ticket> otherTicket = table.issue(nowMs).value();
          return isWithoutRecord(decision) && otherTicket.isPresent()
              ? table.use(otherTicket.get(), request, waiter, nowMs, admission)
              : decision;
        };
  }

  private static boolean isWithoutRecord(TicketDecision decision) {
    return decision instanceof TicketDecision.Reply reply
        && reply.reply() instanceof TicketReply.Refused refused
        && refused.reason() instanceof TicketFailure.NoRecord;
  }

  private static TicketReply reportUnknownResultAsNotRun(TicketReply reply) {
    return reply instanceof TicketReply.Refused refused
            && refused.reason() instanceof TicketFailure.ResultUnknown
        ? TicketReply.notRun(refused.reason())
        : reply;
  }

  private static TicketReply reportMissingOwnerAsNotRun(TicketReply reply) {
    return reply instanceof TicketReply.Refused refused
            && (refused.reason() instanceof TicketFailure.OwnerEnded
                || refused.reason() instanceof TicketFailure.OwnerUnreachable)
        ? TicketReply.notRun(refused.reason())
        : reply;
  }

  /** Accepts each note as if it were based on the newest accepted one. */
  private static FoldStep acceptAnyNote(FoldedState state, long offset, LogRecord record) {
    if (!(record.getBody() instanceof Note note)) {
      return Fold.apply(state, offset, record);
    }
    Note rebased =
        new Note(
            state.noteOffset(),
            note.getAuthor(),
            note.getAdded(),
            note.getChanged(),
            note.getWithdrawn());
    return Fold.apply(
        state, offset, new LogRecord(record.getWriter(), record.getSequence(), rebased));
  }

  private static Step<LogReader, LogReader.ReadOutcome> fold(
      LogReader reader, RecordsPage page, RecordFold recordFold) {
    if (page.getFirstOffset() > reader.state().upToOffset() + 1) {
      return reader.read(page);
    }
    FoldedState state = reader.state();
    List<LogReader.ReadOutcome> outcomes = new ArrayList<>();
    for (RecordAt recordAt : page.getRecords()) {
      if (recordAt.getOffset() > state.upToOffset()) {
        FoldStep step = recordFold.apply(state, recordAt.getOffset(), recordAt.getRecord());
        state = step.state();
        outcomes.add(new LogReader.ReadOutcome.Folded(recordAt, step.rejection()));
      }
    }
    return new Step<>(new LogReader(state, Optional.empty()), outcomes);
  }
}
