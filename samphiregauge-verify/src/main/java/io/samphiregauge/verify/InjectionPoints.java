package io.samphiregauge.verify;

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
 * The calls from the fakes into the state machines. A new instance makes them as they are; a test
 * replaces one of them to plant a fault that the invariants must catch.
 */
final class InjectionPoints {
  PageReader pageReader = LogReader::read;
  StateRestorer stateRestorer = LogReader::restore;
  LeaseTokenSource leaseTokenSource = LeaseAgent::token;
  LeaseStart leaseStart = (firstSentMs, nowMs) -> firstSentMs;
  FreshnessCheck freshnessCheck = Freshness::isFresh;
  TicketRouter ticketRouter = TicketRouting::route;
  TicketUse ticketUse = TicketTable::use;
  DispatchCheck dispatchCheck = (table, ticket) -> table.markDispatched(ticket).value().isPresent();
  RetryCheck retryCheck = TicketTable::mayRetry;
  ReplyFilter replyFilter = reply -> reply;
  EngineStartCheck engineStartCheck = SuspicionView::mayStart;
  PieceReassignCheck pieceReassignCheck = EndedProcessDetector::mayReassignPieces;

  /** Chance that a holder is paused between the check of its lease and the write of an order. */
  double pauseBeforeWriteProbability = 0.3;

  FencingCheck fencingCheck = (highestSeen, fencingToken) -> fencingToken >= highestSeen;

  /** Folds a page of the log. */
  @FunctionalInterface
  interface PageReader {
    Step<LogReader, LogReader.ReadOutcome> read(LogReader reader, RecordsPage page);
  }

  /** Takes over a whole state. */
  @FunctionalInterface
  interface StateRestorer {
    Result<Step<LogReader, LogReader.ReadOutcome>> restore(LogReader reader, Checkpoint checkpoint);
  }

  /** Gives the fencing token under which a process may act. */
  @FunctionalInterface
  interface LeaseTokenSource {
    OptionalLong token(LeaseAgent agent, long nowMs);
  }

  /** Tells from when an own lease record counts. */
  @FunctionalInterface
  interface LeaseStart {
    OptionalLong startMs(OptionalLong firstSentMs, long nowMs);
  }

  /** Tells whether keyed requests may be served. */
  @FunctionalInterface
  interface FreshnessCheck {
    boolean isFresh(Freshness freshness, long nowMs);
  }

  /** Finds the process that handles a ticket. */
  @FunctionalInterface
  interface TicketRouter {
    TicketRoute route(Ticket ticket, Incarnation self, FoldedState state, boolean forwarded);
  }

  /** Decides on a request with a ticket of this process. */
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

  /** Tells whether a request may be written to a plain service. */
  @FunctionalInterface
  interface DispatchCheck {
    boolean mayDispatch(TicketTable<Object> table, Ticket ticket);
  }

  /** Tells whether a request may be tried on another plain service. */
  @FunctionalInterface
  interface RetryCheck {
    boolean mayRetry(TicketTable<Object> table, Ticket ticket);
  }

  /** Gives the reply that callers see. */
  @FunctionalInterface
  interface ReplyFilter {
    TicketReply apply(TicketReply reply);
  }

  /** Tells whether a request may start on an engine. */
  @FunctionalInterface
  interface EngineStartCheck {
    boolean mayStart(SuspicionView view, String fingerprint, String engine);
  }

  /** Tells whether a process can use its pieces no more. */
  @FunctionalInterface
  interface PieceReassignCheck {
    boolean mayReassignPieces(EndedProcessDetector detector, Incarnation process, long nowMs);
  }

  /** Tells whether an engine that checks fencing tokens takes an order. */
  @FunctionalInterface
  interface FencingCheck {
    boolean accepts(long highestSeenOffset, long fencingToken);
  }
}
