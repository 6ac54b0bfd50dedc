package io.samphiregauge.verify;

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

/** Faults that the invariants must catch; each replaces one call into the state machines. */
final class PlantedFaults {
  /** A fold of one record. */
  @FunctionalInterface
  interface FoldOne {
    FoldStep apply(FoldedState state, long offset, LogRecord entry);
  }

  /** Schedules within which a fault must be caught; a tenth of those that CI runs. */
  private static final long FEW = 200;

  /** Half of those that CI runs, for a fault that needs two coincidences. */
  private static final long MANY = 1_000;

  /** A fault, the schedules within which it must be caught, and the invariants that may do so. */
  record Planted(String name, long within, List<String> caughtBy, Consumer<Seams> plant) {
    @Override
    public String toString() {
      return name;
    }
  }

  static final List<Planted> ALL =
      List.of(
          new Planted(
              "count the lease from the answer",
              MANY,
              List.of("one_holder"),
              seams -> seams.sentTime = (firstSentMs, nowMs) -> OptionalLong.of(nowMs)),
          new Planted(
              "no clock margin",
              FEW,
              List.of("one_holder"),
              seams -> seams.authority = PlantedFaults::withoutMargin),
          new Planted(
              "act after expiry",
              FEW,
              List.of("one_holder"),
              seams -> seams.authority = (agent, nowMs) -> ownToken(agent)),
          new Planted(
              "retry a non-idempotent request",
              FEW,
              List.of("runs_at_most_once"),
              seams -> {
                seams.retry = (book, ticket) -> true;
                seams.dispatch =
                    (book, ticket) -> book.markDispatched(ticket).fold(t -> true, f -> true);
              }),
          new Planted(
              "run a ticket at another incarnation",
              FEW,
              List.of("runs_at_most_once", "not_run_is_true"),
              PlantedFaults::runAnywhere),
          new Planted(
              "answer not_run after dispatch",
              FEW,
              List.of("not_run_is_true", "runs_at_most_once"),
              seams -> seams.reply = PlantedFaults::lostIsNotRun),
          new Planted(
              "say not_run for a ticket without record",
              FEW,
              List.of("not_run_is_true", "runs_at_most_once"),
              seams -> seams.reply = PlantedFaults::endedIsNotRun),
          new Planted(
              "take over a state older than the one shown",
              FEW,
              List.of("never_reverts"),
              seams ->
                  seams.restore =
                      (reader, checkpoint) -> {
                        FoldedState state = Fold.restore(checkpoint);
                        return Result.success(
                            Step.to(
                                new LogReader(state, Optional.empty()),
                                new LogReader.ReadOutcome.Restored(state)));
                      }),
          new Planted(
              "skip the note-offset check",
              FEW,
              List.of("withdrawn_key_refused", "never_reverts", "same_fold"),
              seams ->
                  seams.readPage = (reader, page) -> fold(reader, page, PlantedFaults::anyNote)),
          new Planted(
              "serve without a fresh configuration",
              FEW,
              List.of("withdrawn_key_refused"),
              seams -> seams.freshCheck = (freshness, nowMs) -> true),
          new Planted(
              "drop the fencing check",
              FEW,
              List.of("orders_in_sequence"),
              seams -> seams.fencing = (highestSeen, fencingToken) -> true),
          new Planted(
              "skip the isolation of a suspect",
              FEW,
              List.of("neighbours_not_condemned", "at_most_two_crashes"),
              seams ->
                  seams.start =
                      (view, fingerprint, engine) ->
                          view.level(fingerprint) != SuspicionLevel.BLOCKED));

  private PlantedFaults() {}

  private static OptionalLong ownToken(LeaseAgent agent) {
    return agent
        .lastLease()
        .filter(lease -> !lease.isReleased() && lease.getHolder().equals(agent.self()))
        .map(lease -> OptionalLong.of(lease.getToken()))
        .orElse(OptionalLong.empty());
  }

  /**
   * Counts the full duration and a claimant's margin on top, as clocks without error would allow.
   */
  private static OptionalLong withoutMargin(LeaseAgent agent, long nowMs) {
    long durationMs = agent.lastLease().map(LeaseState::getDurationMs).orElse(0L);
    long marginMs = 2 * durationMs / LeaseTimes.CLOCK_RATE_MARGIN;
    return nowMs < agent.validUntilMs() + marginMs ? ownToken(agent) : OptionalLong.empty();
  }

  private static void runAnywhere(Seams seams) {
    seams.place = (ticket, self, state, forwarded) -> new TicketRoute.Local(ticket);
    seams.use =
        (book, ticket, request, waiter, nowMs, admission) -> {
          TicketDecision own = book.use(ticket, request, waiter, nowMs, admission);
          Optional<Ticket> other = book.issue(nowMs).value();
          return isWithoutRecord(own) && other.isPresent()
              ? book.use(other.get(), request, waiter, nowMs, admission)
              : own;
        };
  }

  private static boolean isWithoutRecord(TicketDecision decision) {
    return decision instanceof TicketDecision.Reply reply
        && reply.reply() instanceof TicketReply.Refused refused
        && refused.reason() instanceof TicketFailure.NoRecord;
  }

  private static TicketReply lostIsNotRun(TicketReply decided) {
    return decided instanceof TicketReply.Refused refused
            && refused.reason() instanceof TicketFailure.ResultUnknown
        ? TicketReply.notRun(refused.reason())
        : decided;
  }

  private static TicketReply endedIsNotRun(TicketReply decided) {
    return decided instanceof TicketReply.Refused refused
            && (refused.reason() instanceof TicketFailure.OwnerEnded
                || refused.reason() instanceof TicketFailure.OwnerUnreachable)
        ? TicketReply.notRun(refused.reason())
        : decided;
  }

  /** Accepts each note as if it built on the last accepted one. */
  private static FoldStep anyNote(FoldedState state, long offset, LogRecord entry) {
    if (!(entry.getBody() instanceof Note note)) {
      return Fold.apply(state, offset, entry);
    }
    Note moved =
        new Note(
            state.noteOffset(),
            note.getAuthor(),
            note.getAdded(),
            note.getChanged(),
            note.getWithdrawn());
    return Fold.apply(state, offset, new LogRecord(entry.getWriter(), entry.getSequence(), moved));
  }

  private static Step<LogReader, LogReader.ReadOutcome> fold(
      LogReader reader, RecordsPage page, FoldOne one) {
    if (page.getFirstOffset() > reader.state().upToOffset() + 1) {
      return reader.read(page);
    }
    FoldedState state = reader.state();
    List<LogReader.ReadOutcome> reads = new ArrayList<>();
    for (RecordAt at : page.getRecords()) {
      if (at.getOffset() > state.upToOffset()) {
        FoldStep step = one.apply(state, at.getOffset(), at.getRecord());
        state = step.state();
        reads.add(new LogReader.ReadOutcome.Folded(at, step.rejection()));
      }
    }
    return new Step<>(new LogReader(state, Optional.empty()), reads);
  }
}
