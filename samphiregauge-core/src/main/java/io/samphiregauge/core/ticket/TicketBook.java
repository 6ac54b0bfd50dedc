package io.samphiregauge.core.ticket;

import io.samphiregauge.core.result.Failure;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.core.ticket.TicketEntry.Phase;
import io.samphiregauge.schema.entry.TicketOutcome;
import io.samphiregauge.schema.record.Incarnation;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Queue;
import java.util.function.Supplier;
import org.agrona.collections.Long2ObjectHashMap;

/**
 * Records of the tickets of one event loop. It reads no clock and does no I/O; only its event loop
 * may call it.
 *
 * <pre>{@code
 * TicketDecision decision = book.use(ticket, request, caller, nowMs, admission);
 * if (decision instanceof TicketDecision.Run run && book.dispatch(run.ticket()).value().isPresent()) {
 *   // write the request to the backend server, then book.finish(...) or book.fail(...)
 * }
 * }</pre>
 *
 * @param <W> what identifies a caller that waits for a reply
 */
public final class TicketBook<W> {
  private final Incarnation self;
  private final TicketLimits limits;
  private final int partition;
  private final int partitions;
  private final Long2ObjectHashMap<TicketEntry<W>> entries = new Long2ObjectHashMap<>();
  private final Queue<TicketEntry<W>> byIssue = new ArrayDeque<>();
  private final Queue<Settled<W>> bySettlement = new ArrayDeque<>();
  private long issued;
  private long heldBytes;

  /** A settled ticket, when it was settled, and the size of its answer. */
  private record Settled<W>(TicketEntry<W> entry, long atMs, int bytes) {}

  /**
   * Opens a book without tickets.
   *
   * @param self this process, which the tickets name
   * @param limits bounds of this book
   * @param partition number of this book among those of the process
   * @param partitions number of books of the process
   */
  public TicketBook(Incarnation self, TicketLimits limits, int partition, int partitions) {
    this.self = Objects.requireNonNull(self, "self");
    this.limits = Objects.requireNonNull(limits, "limits");
    this.partition = Objects.checkIndex(partition, partitions);
    this.partitions = partitions;
  }

  /**
   * Issues a ticket and keeps a place for its outcome, so that each ticket can be voided.
   *
   * @param nowMs time on the clock of the process
   * @return the ticket, or a {@link TicketFailure.Full}
   */
  public Result<Ticket> issue(long nowMs) {
    expire(nowMs);
    if (entries.size() >= limits.maxTickets()) {
      return Result.failed(new TicketFailure.Full("maxTickets", limits.maxTickets()));
    }
    Ticket ticket = new Ticket(self, nowMs, issued * partitions + partition);
    issued++;
    TicketEntry<W> entry = new TicketEntry<>(ticket);
    entries.put(ticket.number(), entry);
    byIssue.add(entry);
    return Result.success(ticket);
  }

  /**
   * Decides on a request with a ticket of this book.
   *
   * @param ticket ticket of the request
   * @param request the request
   * @param waiter its caller
   * @param nowMs time on the clock of the process
   * @param admission gives the reason why the request must not run, if there is one; asked only at
   *     the first use
   * @return run it, join it, or the reply
   */
  public TicketDecision use(
      Ticket ticket,
      TicketRequest request,
      W waiter,
      long nowMs,
      Supplier<Optional<? extends Failure>> admission) {
    expire(nowMs);
    return find(ticket)
        .map(entry -> decide(entry, request, waiter, nowMs, admission))
        .orElseGet(() -> unknown(new TicketFailure.NoRecord(ticket.number())));
  }

  /**
   * Marks a request as handed to a backend server; called before its first byte is written.
   *
   * @param ticket ticket of the request
   * @return the ticket, or why no byte of the request may be written
   */
  public Result<Ticket> dispatch(Ticket ticket) {
    Optional<TicketEntry<W>> entry = find(ticket).filter(e -> e.phase() == Phase.ACCEPTED);
    entry.ifPresent(TicketEntry::dispatch);
    return entry
        .<Result<Ticket>>map(e -> Result.success(ticket))
        .orElseGet(() -> Result.failed(new TicketFailure.AlreadyDispatched(ticket.number())));
  }

  /**
   * Settles a request that has its answer.
   *
   * @param ticket ticket of the request
   * @param answer whole answer of the backend server
   * @param nowMs time on the clock of the process
   * @return the reply to all who wait, or empty where the ticket is not running
   */
  public Optional<Settlement<W>> finish(Ticket ticket, RecordedAnswer answer, long nowMs) {
    boolean kept = answer.size() <= limits.maxAnswerBytes();
    TicketReply reply =
        kept
            ? new TicketReply.Answered(answer)
            : TicketReply.unknown(new TicketFailure.AnswerNotKept(ticket.number(), answer.size()));
    return find(ticket)
        .filter(entry -> entry.phase() == Phase.DISPATCHED)
        .map(entry -> settle(entry, reply, true, kept ? answer.size() : 0, nowMs));
  }

  /**
   * Settles a request that gets no answer. The outcome is {@code not_run} only where the request
   * was never handed to a backend server.
   *
   * @param ticket ticket of the request
   * @param reason what went wrong
   * @param nowMs time on the clock of the process
   * @return the reply to all who wait, or empty where the ticket is not running
   */
  public Optional<Settlement<W>> fail(Ticket ticket, Failure reason, long nowMs) {
    return find(ticket)
        .filter(TicketEntry::runs)
        .map(entry -> settle(entry, failed(entry, reason), false, 0, nowMs));
  }

  /**
   * Tells whether the request may be tried on another backend server.
   *
   * @param ticket ticket of the request
   * @return true while no byte of it was written
   */
  public boolean mayRetry(Ticket ticket) {
    return find(ticket).filter(entry -> entry.phase() == Phase.ACCEPTED).isPresent();
  }

  /**
   * Tells what became of a request. An unused ticket has the outcome {@code unknown}, since its
   * request may be on its way.
   *
   * @param ticket its ticket
   * @param team team that asks; other teams learn nothing
   * @param nowMs time on the clock of the process
   * @return the outcome
   */
  public TicketOutcome outcome(Ticket ticket, String team, long nowMs) {
    expire(nowMs);
    return find(ticket)
        .filter(entry -> entry.belongsTo(team))
        .map(TicketBook::outcomeOf)
        .orElse(TicketOutcome.UNKNOWN);
  }

  /** Returns the number of tickets in the book. */
  public int size() {
    return entries.size();
  }

  /** Returns the bytes of the answers kept and of the room reserved for running requests. */
  public long heldBytes() {
    return heldBytes;
  }

  /**
   * Drops what is too old; each call does only the work that has become due.
   *
   * @param nowMs time on the clock of the process
   */
  public void expire(long nowMs) {
    while (!byIssue.isEmpty() && isOld(byIssue.element(), nowMs)) {
      TicketEntry<W> entry = byIssue.remove();
      if (entry.phase() == Phase.ISSUED) {
        entries.remove(entry.ticket().number());
      }
    }
    while (!bySettlement.isEmpty() && nowMs - bySettlement.element().atMs() > limits.recordMs()) {
      Settled<W> settled = bySettlement.remove();
      entries.remove(settled.entry().ticket().number());
      heldBytes -= settled.bytes();
    }
  }

  private boolean isOld(TicketEntry<W> entry, long nowMs) {
    return nowMs - entry.ticket().issuedMs() > limits.firstUseMs();
  }

  /** Finds the record of a ticket; one that only shares the number with it was not issued here. */
  private Optional<TicketEntry<W>> find(Ticket ticket) {
    return Optional.ofNullable(entries.get(ticket.number()))
        .filter(entry -> entry.ticket().equals(ticket));
  }

  private TicketDecision decide(
      TicketEntry<W> entry,
      TicketRequest request,
      W waiter,
      long nowMs,
      Supplier<Optional<? extends Failure>> admission) {
    long number = entry.ticket().number();
    if (!entry.belongsTo(request)) {
      return unknown(new TicketFailure.Mismatch(number));
    }
    if (entry.phase() == Phase.ISSUED) {
      return first(entry, request, waiter, nowMs, admission);
    }
    if (entry.reply().isPresent()) {
      return new TicketDecision.Reply(entry.reply().get());
    }
    if (entry.waiterCount() >= limits.maxWaiters()) {
      return unknown(new TicketFailure.TooManyRepeats(number));
    }
    entry.join(waiter);
    return new TicketDecision.Join(entry.ticket());
  }

  private TicketDecision first(
      TicketEntry<W> entry,
      TicketRequest request,
      W waiter,
      long nowMs,
      Supplier<Optional<? extends Failure>> admission) {
    Optional<? extends Failure> obstacle = full().or(admission);
    if (obstacle.isPresent()) {
      TicketReply refusal = TicketReply.notRun(obstacle.get());
      entry.refuse(request, refusal);
      bySettlement.add(new Settled<>(entry, nowMs, 0));
      return new TicketDecision.Reply(refusal);
    }
    entry.accept(request, waiter);
    heldBytes += limits.maxAnswerBytes();
    return new TicketDecision.Run(entry.ticket());
  }

  private Optional<Failure> full() {
    return heldBytes + limits.maxAnswerBytes() > limits.maxTotalBytes()
        ? Optional.of(new TicketFailure.Full("maxTotalBytes", limits.maxTotalBytes()))
        : Optional.empty();
  }

  private Settlement<W> settle(
      TicketEntry<W> entry, TicketReply reply, boolean done, int bytes, long nowMs) {
    List<W> waiters = entry.settle(reply, done);
    heldBytes += bytes - limits.maxAnswerBytes();
    bySettlement.add(new Settled<>(entry, nowMs, bytes));
    return new Settlement<>(reply, waiters);
  }

  private TicketReply failed(TicketEntry<W> entry, Failure reason) {
    return entry.phase() == Phase.DISPATCHED
        ? TicketReply.unknown(
            new TicketFailure.ResultLost(entry.ticket().number(), reason.message()))
        : TicketReply.notRun(reason);
  }

  private static <W> TicketOutcome outcomeOf(TicketEntry<W> entry) {
    if (entry.runs()) {
      return TicketOutcome.RUNNING;
    }
    if (entry.ran()) {
      return TicketOutcome.DONE;
    }
    boolean notRun = entry.reply().filter(TicketReply::isNotRun).isPresent();
    return notRun ? TicketOutcome.NOT_RUN : TicketOutcome.UNKNOWN;
  }

  private static TicketDecision unknown(TicketFailure failure) {
    return new TicketDecision.Reply(TicketReply.unknown(failure));
  }
}
