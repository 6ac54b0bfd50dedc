package io.samphiregauge.core.ticket;

import io.samphiregauge.core.result.Failure;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.core.ticket.TicketRecord.Phase;
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
public final class TicketTable<W> {
  private final Incarnation self;
  private final TicketLimits limits;
  private final int partition;
  private final int partitions;
  private final Long2ObjectHashMap<TicketRecord<W>> recordsByNumber = new Long2ObjectHashMap<>();
  private final Queue<TicketRecord<W>> issueOrder = new ArrayDeque<>();
  private final Queue<Settled<W>> settlementOrder = new ArrayDeque<>();
  private long issuedCount;
  private long reservedBytes;

  /** A settled ticket, when it was settled, and the size of its answer. */
  private record Settled<W>(TicketRecord<W> record, long settledMs, int bytes) {}

  /**
   * Opens a book without tickets.
   *
   * @param self this process, which the tickets name
   * @param limits bounds of this book
   * @param partition number of this book among those of the process
   * @param partitions number of books of the process
   */
  public TicketTable(Incarnation self, TicketLimits limits, int partition, int partitions) {
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
    if (recordsByNumber.size() >= limits.maxTickets()) {
      return Result.failed(new TicketFailure.Full("maxTickets", limits.maxTickets()));
    }
    Ticket ticket = new Ticket(self, nowMs, issuedCount * partitions + partition);
    issuedCount++;
    TicketRecord<W> record = new TicketRecord<>(ticket);
    recordsByNumber.put(ticket.number(), record);
    issueOrder.add(record);
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
        .orElseGet(() -> outcomeUnknown(new TicketFailure.NoRecord(ticket.number())));
  }

  /**
   * Marks a request as handed to a backend server; called before its first byte is written.
   *
   * @param ticket ticket of the request
   * @return the ticket, or why no byte of the request may be written
   */
  public Result<Ticket> markDispatched(Ticket ticket) {
    Optional<TicketRecord<W>> record = find(ticket).filter(e -> e.phase() == Phase.ACCEPTED);
    record.ifPresent(TicketRecord::markDispatched);
    return record
        .<Result<Ticket>>map(e -> Result.success(ticket))
        .orElseGet(() -> Result.failed(new TicketFailure.AlreadyDispatched(ticket.number())));
  }

  /**
   * Settles a request that has its answer.
   *
   * @param ticket ticket of the request
   * @param response whole answer of the backend server
   * @param nowMs time on the clock of the process
   * @return the reply to all who wait, or empty where the ticket is not running
   */
  public Optional<Settlement<W>> complete(Ticket ticket, RecordedResponse response, long nowMs) {
    boolean recorded = response.size() <= limits.maxResponseBytes();
    TicketReply reply =
        recorded
            ? new TicketReply.Completed(response)
            : TicketReply.outcomeUnknown(
                new TicketFailure.ResponseNotRecorded(ticket.number(), response.size()));
    return find(ticket)
        .filter(entry -> entry.phase() == Phase.DISPATCHED)
        .map(entry -> settle(entry, reply, true, recorded ? response.size() : 0, nowMs));
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
        .filter(TicketRecord::isRunning)
        .map(entry -> settle(entry, failureReply(entry, reason), false, 0, nowMs));
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
        .map(TicketTable::outcomeOf)
        .orElse(TicketOutcome.UNKNOWN);
  }

  /** Returns the number of tickets in the book. */
  public int size() {
    return recordsByNumber.size();
  }

  /** Returns the bytes of the answers kept and of the room reserved for running requests. */
  public long reservedBytes() {
    return reservedBytes;
  }

  /**
   * Drops what is too old; each call does only the work that has become due.
   *
   * @param nowMs time on the clock of the process
   */
  public void expire(long nowMs) {
    while (!issueOrder.isEmpty() && isFirstUseExpired(issueOrder.element(), nowMs)) {
      TicketRecord<W> record = issueOrder.remove();
      if (record.phase() == Phase.ISSUED) {
        recordsByNumber.remove(record.ticket().number());
      }
    }
    while (!settlementOrder.isEmpty()
        && nowMs - settlementOrder.element().settledMs() > limits.recordMs()) {
      Settled<W> settled = settlementOrder.remove();
      recordsByNumber.remove(settled.record().ticket().number());
      reservedBytes -= settled.bytes();
    }
  }

  private boolean isFirstUseExpired(TicketRecord<W> record, long nowMs) {
    return nowMs - record.ticket().issuedMs() > limits.firstUseMs();
  }

  /** Finds the record of a ticket; one that only shares the number with it was not issued here. */
  private Optional<TicketRecord<W>> find(Ticket ticket) {
    return Optional.ofNullable(recordsByNumber.get(ticket.number()))
        .filter(entry -> entry.ticket().equals(ticket));
  }

  private TicketDecision decide(
      TicketRecord<W> record,
      TicketRequest request,
      W waiter,
      long nowMs,
      Supplier<Optional<? extends Failure>> admission) {
    long number = record.ticket().number();
    if (!record.belongsTo(request)) {
      return outcomeUnknown(new TicketFailure.Mismatch(number));
    }
    if (record.phase() == Phase.ISSUED) {
      return decideFirstUse(record, request, waiter, nowMs, admission);
    }
    if (record.reply().isPresent()) {
      return new TicketDecision.Reply(record.reply().get());
    }
    if (record.waiterCount() >= limits.maxWaiters()) {
      return outcomeUnknown(new TicketFailure.TooManyRepeats(number));
    }
    record.addWaiter(waiter);
    return new TicketDecision.Join(record.ticket());
  }

  private TicketDecision decideFirstUse(
      TicketRecord<W> record,
      TicketRequest request,
      W waiter,
      long nowMs,
      Supplier<Optional<? extends Failure>> admission) {
    Optional<? extends Failure> rejection = memoryLimitFailure().or(admission);
    if (rejection.isPresent()) {
      TicketReply reply = TicketReply.notRun(rejection.get());
      record.refuse(request, reply);
      settlementOrder.add(new Settled<>(record, nowMs, 0));
      return new TicketDecision.Reply(reply);
    }
    record.accept(request, waiter);
    reservedBytes += limits.maxResponseBytes();
    return new TicketDecision.Run(record.ticket());
  }

  private Optional<Failure> memoryLimitFailure() {
    return reservedBytes + limits.maxResponseBytes() > limits.maxTotalBytes()
        ? Optional.of(new TicketFailure.Full("maxTotalBytes", limits.maxTotalBytes()))
        : Optional.empty();
  }

  private Settlement<W> settle(
      TicketRecord<W> record, TicketReply reply, boolean completed, int bytes, long nowMs) {
    List<W> waiters = record.settle(reply, completed);
    reservedBytes += bytes - limits.maxResponseBytes();
    settlementOrder.add(new Settled<>(record, nowMs, bytes));
    return new Settlement<>(reply, waiters);
  }

  private TicketReply failureReply(TicketRecord<W> record, Failure reason) {
    return record.phase() == Phase.DISPATCHED
        ? TicketReply.outcomeUnknown(
            new TicketFailure.ResultUnknown(record.ticket().number(), reason.message()))
        : TicketReply.notRun(reason);
  }

  private static <W> TicketOutcome outcomeOf(TicketRecord<W> record) {
    if (record.isRunning()) {
      return TicketOutcome.RUNNING;
    }
    if (record.completed()) {
      return TicketOutcome.DONE;
    }
    boolean notRun = record.reply().filter(TicketReply::isNotRun).isPresent();
    return notRun ? TicketOutcome.NOT_RUN : TicketOutcome.UNKNOWN;
  }

  private static TicketDecision outcomeUnknown(TicketFailure failure) {
    return new TicketDecision.Reply(TicketReply.outcomeUnknown(failure));
  }
}
