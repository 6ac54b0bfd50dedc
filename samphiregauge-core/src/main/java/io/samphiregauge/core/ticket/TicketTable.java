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
 * Table of the tickets issued by one event loop, with the state of their requests. Reads no clock
 * and does no I/O. Not thread-safe: only the owning event loop may call it.
 *
 * <pre>{@code
 * TicketDecision decision = table.use(ticket, request, caller, nowMs, admission);
 * if (decision instanceof TicketDecision.Run run
 *     && table.markDispatched(run.ticket()).value().isPresent()) {
 *   // write the request to the backend server, then table.complete(...) or table.fail(...)
 * }
 * }</pre>
 *
 * @param <W> type that identifies a caller waiting for a reply
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

  /** A settled ticket, the time of its settlement, and the size of its recorded response. */
  private record Settled<W>(TicketRecord<W> record, long settledMs, int bytes) {}

  /**
   * Creates an empty table.
   *
   * @param self this process, the owner of the tickets
   * @param limits limits of this table
   * @param partition index of this table among those of the process
   * @param partitions number of tables of the process
   */
  public TicketTable(Incarnation self, TicketLimits limits, int partition, int partitions) {
    this.self = Objects.requireNonNull(self, "self");
    this.limits = Objects.requireNonNull(limits, "limits");
    this.partition = Objects.checkIndex(partition, partitions);
    this.partitions = partitions;
  }

  /**
   * Issues a ticket and adds a record for the outcome of its request. A refusal can therefore
   * always be recorded, after which a delayed copy of the request does not run.
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
   * Decides how to handle a request with a ticket of this table.
   *
   * @param ticket ticket of the request
   * @param request the request
   * @param waiter its caller
   * @param nowMs time on the clock of the process
   * @param admission returns the reason why the request must not run, or empty; called only on the
   *     first use
   * @return whether to run the request, to wait for the running one, or the reply to send
   */
  public TicketDecision use(
      Ticket ticket,
      TicketRequest request,
      W waiter,
      long nowMs,
      Supplier<Optional<? extends Failure>> admission) {
    expire(nowMs);
    return find(ticket)
        .map(record -> decide(record, request, waiter, nowMs, admission))
        .orElseGet(() -> outcomeUnknown(new TicketFailure.NoRecord(ticket.number())));
  }

  /**
   * Marks a request as dispatched to a backend server. Must be called before its first byte is
   * written.
   *
   * @param ticket ticket of the request
   * @return the ticket, or a {@link TicketFailure.AlreadyDispatched} if the request must not be
   *     written: it was already dispatched or settled, or the ticket is not in the table
   */
  public Result<Ticket> markDispatched(Ticket ticket) {
    Optional<TicketRecord<W>> record = find(ticket).filter(r -> r.phase() == Phase.ACCEPTED);
    record.ifPresent(TicketRecord::markDispatched);
    return record
        .<Result<Ticket>>map(r -> Result.success(ticket))
        .orElseGet(() -> Result.failed(new TicketFailure.AlreadyDispatched(ticket.number())));
  }

  /**
   * Settles a dispatched request with its response.
   *
   * @param ticket ticket of the request
   * @param response complete response of the backend server
   * @param nowMs time on the clock of the process
   * @return the reply and its waiters, or empty if the request is not running
   */
  public Optional<Settlement<W>> complete(Ticket ticket, RecordedResponse response, long nowMs) {
    boolean recorded = response.size() <= limits.maxResponseBytes();
    TicketReply reply =
        recorded
            ? new TicketReply.Completed(response)
            : TicketReply.outcomeUnknown(
                new TicketFailure.ResponseNotRecorded(ticket.number(), response.size()));
    return find(ticket)
        .filter(record -> record.phase() == Phase.DISPATCHED)
        .map(record -> settle(record, reply, true, recorded ? response.size() : 0, nowMs));
  }

  /**
   * Settles a request that gets no response. The outcome is {@code not_run} only if the request was
   * never dispatched to a backend server.
   *
   * @param ticket ticket of the request
   * @param reason cause of the failure
   * @param nowMs time on the clock of the process
   * @return the reply and its waiters, or empty if the request is not running
   */
  public Optional<Settlement<W>> fail(Ticket ticket, Failure reason, long nowMs) {
    return find(ticket)
        .filter(TicketRecord::isRunning)
        .map(record -> settle(record, failureReply(record, reason), false, 0, nowMs));
  }

  /**
   * Returns whether the request may be sent to another backend server.
   *
   * @param ticket ticket of the request
   * @return true while the request is accepted and not dispatched
   */
  public boolean mayRetry(Ticket ticket) {
    return find(ticket).filter(record -> record.phase() == Phase.ACCEPTED).isPresent();
  }

  /**
   * Returns the outcome of a request. An unused ticket has the outcome {@code unknown}, since its
   * request may still arrive.
   *
   * @param ticket ticket of the request
   * @param team team that requests the outcome; {@code unknown} is returned to teams other than the
   *     request's
   * @param nowMs time on the clock of the process
   * @return the outcome
   */
  public TicketOutcome outcome(Ticket ticket, String team, long nowMs) {
    expire(nowMs);
    return find(ticket)
        .filter(record -> record.belongsTo(team))
        .map(TicketTable::outcomeOf)
        .orElse(TicketOutcome.UNKNOWN);
  }

  /** Returns the number of tickets in the table. */
  public int size() {
    return recordsByNumber.size();
  }

  /** Returns the bytes of recorded responses plus those reserved for running requests. */
  public long reservedBytes() {
    return reservedBytes;
  }

  /**
   * Removes the tickets that were not used within {@link TicketLimits#firstUseMs} of their issue,
   * and those that were settled more than {@link TicketLimits#recordMs} ago. Each call visits only
   * the records that are due.
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

  /**
   * Finds the record of a ticket. Compares the whole ticket, since a forged one may share the
   * number.
   */
  private Optional<TicketRecord<W>> find(Ticket ticket) {
    return Optional.ofNullable(recordsByNumber.get(ticket.number()))
        .filter(record -> record.ticket().equals(ticket));
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
