package io.samphiregauge.core.log;

import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.RandomSource;
import io.samphiregauge.core.Step;
import io.samphiregauge.schema.RecordBody;
import io.samphiregauge.schema.record.Incarnation;
import io.samphiregauge.schema.record.LogRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Appends the records of one process to the log in order, and retries until they are stored;
 * immutable.
 *
 * <p>At most one call is open at a time, because a record is rejected if it is stored after one
 * with a higher sequence number.
 *
 * @param writer incarnation of the process
 * @param nextSequence sequence number of the next record
 * @param pending records that have not been read back yet, in order
 * @param callId identifier of the latest call
 * @param callDeadlineMs time at which the open call times out, or empty if no call is open
 * @param failures consecutive failed calls
 * @param retryAtMs earliest time of the next call
 */
public record LogWriter(
    Incarnation writer,
    long nextSequence,
    List<Pending> pending,
    long callId,
    OptionalLong callDeadlineMs,
    int failures,
    long retryAtMs) {

  /** Maximum number of records in one call. */
  public static final int MAX_BATCH_RECORDS = 64;

  /** Time after which a call without a response counts as failed. */
  public static final long CALL_TIMEOUT_MS = 2_000;

  static final long INITIAL_BACKOFF_MS = 100;
  static final long MAX_BACKOFF_MS = 2_000;
  private static final int MAX_BACKOFF_DOUBLINGS = 10;

  /**
   * A record that has not been read back from the log yet.
   *
   * @param record the record
   * @param firstSentAt time at which the record was first sent, or empty if it has not been sent
   *     yet
   * @param acknowledged whether the log has acknowledged that the record is stored
   */
  public record Pending(
      LogRecord record, Optional<DualTimestamp> firstSentAt, boolean acknowledged) {}

  /**
   * A call that appends records. The caller must send them in order, each one only after the one
   * before it was acknowledged.
   *
   * @param callId identifier to pass to the event that ends the call
   * @param records records to append
   */
  public record Append(long callId, List<LogRecord> records) {}

  /** Input of the writer. */
  public sealed interface Event {
    /** Time has passed, or records were enqueued. */
    record Tick() implements Event {}

    /** A call succeeded: all of its records are stored. */
    record Acknowledged(long callId) implements Event {}

    /** A call failed; some of its records may be stored nevertheless. */
    record Failed(long callId) implements Event {}

    /** A record of this process was read from the log. */
    record ReadBack(long sequence) implements Event {}
  }

  /** Makes a defensive copy of the list of pending records. */
  public LogWriter {
    pending = List.copyOf(pending);
  }

  /**
   * Creates the writer of a new process.
   *
   * @param writer incarnation of the process
   * @return a writer without pending records
   */
  public static LogWriter of(Incarnation writer) {
    return new LogWriter(writer, 1, List.of(), 0, OptionalLong.empty(), 0, Long.MIN_VALUE);
  }

  /**
   * Adds a record to the end of the queue; it is sent when the next event is handled and no other
   * call is open.
   *
   * @param body body of the record
   * @return the writer with the record
   */
  public LogWriter enqueue(RecordBody body) {
    List<Pending> extended = new ArrayList<>(pending);
    LogRecord record = new LogRecord(writer, nextSequence, body);
    extended.add(new Pending(record, Optional.empty(), false));
    return new LogWriter(
        writer, nextSequence + 1, extended, callId, callDeadlineMs, failures, retryAtMs);
  }

  /**
   * Returns the time at which a record was first sent. The append may have taken effect at any time
   * after that, so the duration of a lease counts from this time.
   *
   * @param sequence sequence number of the record
   * @return the time, or empty if the record is not pending or has not been sent yet
   */
  public Optional<DualTimestamp> firstSentAt(long sequence) {
    for (Pending candidate : pending) {
      if (candidate.record().getSequence() == sequence) {
        return candidate.firstSentAt();
      }
    }
    return Optional.empty();
  }

  /**
   * Returns the time at which the writer needs the next {@link Event.Tick}.
   *
   * @return the time, or empty if the writer has nothing to send or to wait for
   */
  public OptionalLong deadlineMs() {
    if (callDeadlineMs.isPresent()) {
      return callDeadlineMs;
    }
    return unacknowledged().isEmpty() ? OptionalLong.empty() : OptionalLong.of(retryAtMs);
  }

  /**
   * Handles an event.
   *
   * @param event the event
   * @param now current time
   * @param random source of the retry jitter
   * @return the next writer and the calls to make
   */
  public Step<LogWriter, Append> handle(Event event, DualTimestamp now, RandomSource random) {
    long nowMs = now.monotonicMs();
    return applyEvent(event, nowMs, random).expireCall(nowMs, random).sendBatch(now);
  }

  private LogWriter applyEvent(Event event, long nowMs, RandomSource random) {
    if (event instanceof Event.ReadBack read) {
      return removeReadBack(read.sequence(), nowMs);
    }
    if (event instanceof Event.Acknowledged acknowledged && isOpen(acknowledged.callId())) {
      return closeCall(acknowledgeSent(), 0, nowMs);
    }
    if (event instanceof Event.Failed failed && isOpen(failed.callId())) {
      return closeCall(pending, failures + 1, nowMs + backoffMs(random));
    }
    return this;
  }

  private LogWriter expireCall(long nowMs, RandomSource random) {
    if (callDeadlineMs.isEmpty() || nowMs < callDeadlineMs.getAsLong()) {
      return this;
    }
    return closeCall(pending, failures + 1, nowMs + backoffMs(random));
  }

  private Step<LogWriter, Append> sendBatch(DualTimestamp now) {
    List<Pending> batch = unacknowledged();
    if (callDeadlineMs.isPresent() || batch.isEmpty() || now.monotonicMs() < retryAtMs) {
      return Step.to(this);
    }
    long lastSequence = batch.get(batch.size() - 1).record().getSequence();
    List<Pending> marked =
        pending.stream()
            .map(p -> p.record().getSequence() <= lastSequence ? markSent(p, now) : p)
            .toList();
    LogWriter next =
        new LogWriter(
            writer,
            nextSequence,
            marked,
            callId + 1,
            OptionalLong.of(now.monotonicMs() + CALL_TIMEOUT_MS),
            failures,
            retryAtMs);
    return Step.to(next, new Append(callId + 1, batch.stream().map(Pending::record).toList()));
  }

  private static Pending markSent(Pending original, DualTimestamp now) {
    Optional<DualTimestamp> firstSent = original.firstSentAt().or(() -> Optional.of(now));
    return new Pending(original.record(), firstSent, original.acknowledged());
  }

  /**
   * Marks all sent records as acknowledged. Each call starts at the first unacknowledged record, so
   * a successful call implies that every record sent so far is stored.
   */
  private List<Pending> acknowledgeSent() {
    return pending.stream()
        .map(p -> new Pending(p.record(), p.firstSentAt(), p.firstSentAt().isPresent()))
        .toList();
  }

  /** Removes a record that was read back, and those before it, which are stored as well. */
  private LogWriter removeReadBack(long sequence, long nowMs) {
    List<Pending> remaining =
        pending.stream().filter(p -> p.record().getSequence() > sequence).toList();
    boolean allStored =
        remaining.stream().noneMatch(p -> p.firstSentAt().isPresent() && !p.acknowledged());
    if (callDeadlineMs.isPresent() && allStored) {
      return closeCall(remaining, 0, nowMs);
    }
    return new LogWriter(
        writer, nextSequence, remaining, callId, callDeadlineMs, failures, retryAtMs);
  }

  private LogWriter closeCall(List<Pending> remaining, int failedCalls, long nextCallMs) {
    return new LogWriter(
        writer, nextSequence, remaining, callId, OptionalLong.empty(), failedCalls, nextCallMs);
  }

  private boolean isOpen(long id) {
    return callDeadlineMs.isPresent() && id == callId;
  }

  private List<Pending> unacknowledged() {
    return pending.stream().filter(p -> !p.acknowledged()).limit(MAX_BATCH_RECORDS).toList();
  }

  /**
   * Returns an exponential backoff of which up to half is random, so that entries do not retry in
   * lockstep.
   */
  private long backoffMs(RandomSource random) {
    int doublings = Math.min(failures, MAX_BACKOFF_DOUBLINGS);
    long fullDelayMs = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS << doublings);
    return fullDelayMs / 2 + (long) (random.nextDouble() * (fullDelayMs / 2.0));
  }
}
