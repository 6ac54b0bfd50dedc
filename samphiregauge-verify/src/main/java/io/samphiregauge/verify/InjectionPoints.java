package io.samphiregauge.verify;

import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.Step;
import io.samphiregauge.core.lease.LeaseAgent;
import io.samphiregauge.core.log.FoldedState;
import io.samphiregauge.core.log.Freshness;
import io.samphiregauge.core.log.LogReader;
import io.samphiregauge.core.member.EndedProcessDetector;
import io.samphiregauge.core.result.Failure;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.core.suspect.SuspicionView;
import io.samphiregauge.core.ticket.Ticket;
import io.samphiregauge.core.ticket.TicketDecision;
import io.samphiregauge.core.ticket.TicketReply;
import io.samphiregauge.core.ticket.TicketRequest;
import io.samphiregauge.core.ticket.TicketRoute;
import io.samphiregauge.core.ticket.TicketRouting;
import io.samphiregauge.core.ticket.TicketTable;
import io.samphiregauge.schema.platform.RecordsPage;
import io.samphiregauge.schema.record.Checkpoint;
import io.samphiregauge.schema.record.Incarnation;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;

/**
 * Injection points for faults in the calls to the state machines. A new instance calls the state
 * machines unchanged; a test replaces one call to inject a fault that the invariants must detect.
 */
final class InjectionPoints {
  PageReader pageReader = LogReader::read;
  StateRestorer stateRestorer = LogReader::restore;
  LeaseTokenSource leaseTokenSource = LeaseAgent::token;
  LeaseStart leaseStart = (firstSentAt, now) -> firstSentAt;
  FreshnessCheck freshnessCheck = Freshness::isFresh;
  TicketRouter ticketRouter = TicketRouting::route;
  TicketUse ticketUse = TicketTable::use;
  DispatchCheck dispatchCheck = (table, ticket) -> table.markDispatched(ticket).value().isPresent();
  RetryCheck retryCheck = TicketTable::mayRetry;
  ReplyFilter replyFilter = reply -> reply;
  EngineStartCheck engineStartCheck = SuspicionView::mayStart;
  PieceReassignCheck pieceReassignCheck = EndedProcessDetector::mayReassignPieces;

  /**
   * Probability that a process is paused between the check of its lease and the sending of an
   * order.
   */
  double pauseBeforeWriteProbability = 0.3;

  FencingCheck fencingCheck = (highestSeenToken, fencingToken) -> fencingToken >= highestSeenToken;

  /** Applies a page of records to the folded state. */
  @FunctionalInterface
  interface PageReader {
    Step<LogReader, LogReader.ReadOutcome> read(LogReader reader, RecordsPage page);
  }

  /** Replaces the folded state by a checkpoint. */
  @FunctionalInterface
  interface StateRestorer {
    Result<Step<LogReader, LogReader.ReadOutcome>> restore(LogReader reader, Checkpoint checkpoint);
  }

  /** Returns the fencing token of a lease, or empty if the process may not act under it. */
  @FunctionalInterface
  interface LeaseTokenSource {
    OptionalLong token(LeaseAgent agent, DualTimestamp now);
  }

  /** Returns the time from which the duration of a lease record of this process counts. */
  @FunctionalInterface
  interface LeaseStart {
    Optional<DualTimestamp> startedAt(Optional<DualTimestamp> firstSentAt, DualTimestamp now);
  }

  /** Returns whether the configuration is fresh enough to serve requests with an API key. */
  @FunctionalInterface
  interface FreshnessCheck {
    boolean isFresh(Freshness freshness, DualTimestamp now);
  }

  /** Returns the process that handles a ticket. */
  @FunctionalInterface
  interface TicketRouter {
    TicketRoute route(Ticket ticket, Incarnation self, FoldedState state, boolean forwarded);
  }

  /** Decides what to do with a request whose ticket this process issued. */
  @FunctionalInterface
  interface TicketUse {
    TicketDecision decide(
        TicketTable<Object> table,
        Ticket ticket,
        TicketRequest request,
        Object waiter,
        long nowMs,
        Supplier<Optional<? extends Failure>> admission);
  }

  /**
   * Returns whether a request may be sent to a plain service, and marks its ticket as dispatched.
   */
  @FunctionalInterface
  interface DispatchCheck {
    boolean mayDispatch(TicketTable<Object> table, Ticket ticket);
  }

  /** Returns whether a request may be retried on another plain service. */
  @FunctionalInterface
  interface RetryCheck {
    boolean mayRetry(TicketTable<Object> table, Ticket ticket);
  }

  /** Returns the reply that a caller receives instead of the decided one. */
  @FunctionalInterface
  interface ReplyFilter {
    TicketReply apply(TicketReply reply);
  }

  /** Returns whether a request may start on an engine. */
  @FunctionalInterface
  interface EngineStartCheck {
    boolean mayStart(SuspicionView view, String fingerprint, String engine);
  }

  /** Returns whether a process has ended for long enough that its pieces may be reassigned. */
  @FunctionalInterface
  interface PieceReassignCheck {
    boolean mayReassignPieces(EndedProcessDetector detector, Incarnation process, long nowMs);
  }

  /** Returns whether an engine that checks fencing tokens accepts an order. */
  @FunctionalInterface
  interface FencingCheck {
    boolean accepts(long highestSeenToken, long fencingToken);
  }
}
