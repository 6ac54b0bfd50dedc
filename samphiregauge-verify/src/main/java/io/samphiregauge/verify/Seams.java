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
final class Seams {
  ReadPage readPage = LogReader::read;
  Restore restore = LogReader::restore;
  Authority authority = LeaseAgent::token;
  SentTime sentTime = (firstSentMs, nowMs) -> firstSentMs;
  FreshCheck freshCheck = Freshness::isFresh;
  Place place = TicketRouting::route;
  Use use = TicketTable::use;
  Dispatch dispatch = (book, ticket) -> book.markDispatched(ticket).value().isPresent();
  Retry retry = TicketTable::mayRetry;
  Reply reply = decided -> decided;
  Start start = SuspicionView::mayStart;
  Gone gone = EndedProcessDetector::mayReassignPieces;

  /** Chance that a holder is paused between the check of its lease and the write of an order. */
  double pauseBeforeWrite = 0.3;

  Fencing fencing = (highestSeen, fencingToken) -> fencingToken >= highestSeen;

  /** Folds a page of the log. */
  @FunctionalInterface
  interface ReadPage {
    Step<LogReader, LogReader.ReadOutcome> read(LogReader reader, RecordsPage page);
  }

  /** Takes over a whole state. */
  @FunctionalInterface
  interface Restore {
    Result<Step<LogReader, LogReader.ReadOutcome>> restore(LogReader reader, Checkpoint checkpoint);
  }

  /** Gives the fencing token under which a process may act. */
  @FunctionalInterface
  interface Authority {
    OptionalLong token(LeaseAgent agent, long nowMs);
  }

  /** Tells from when an own lease record counts. */
  @FunctionalInterface
  interface SentTime {
    OptionalLong from(OptionalLong firstSentMs, long nowMs);
  }

  /** Tells whether keyed requests may be served. */
  @FunctionalInterface
  interface FreshCheck {
    boolean isFresh(Freshness freshness, long nowMs);
  }

  /** Finds the process that handles a ticket. */
  @FunctionalInterface
  interface Place {
    TicketRoute of(Ticket ticket, Incarnation self, FoldedState state, boolean forwarded);
  }

  /** Decides on a request with a ticket of this process. */
  @FunctionalInterface
  interface Use {
    TicketDecision decide(
        TicketTable<Object> book,
        Ticket ticket,
        TicketRequest request,
        Object waiter,
        long nowMs,
        Supplier<Optional<? extends Failure>> admission);
  }

  /** Tells whether a request may be written to a plain service. */
  @FunctionalInterface
  interface Dispatch {
    boolean mayWrite(TicketTable<Object> book, Ticket ticket);
  }

  /** Tells whether a request may be tried on another plain service. */
  @FunctionalInterface
  interface Retry {
    boolean mayRetry(TicketTable<Object> book, Ticket ticket);
  }

  /** Gives the reply that callers see. */
  @FunctionalInterface
  interface Reply {
    TicketReply of(TicketReply decided);
  }

  /** Tells whether a request may start on an engine. */
  @FunctionalInterface
  interface Start {
    boolean mayStart(SuspicionView view, String fingerprint, String engine);
  }

  /** Tells whether a process can use its pieces no more. */
  @FunctionalInterface
  interface Gone {
    boolean isGone(EndedProcessDetector watch, Incarnation process, long nowMs);
  }

  /** Tells whether an engine that checks fencing tokens takes an order. */
  @FunctionalInterface
  interface Fencing {
    boolean takes(long highestSeen, long fencingToken);
  }
}
