package io.samphiregauge.core.log;

import io.samphiregauge.core.RandomSource;
import io.samphiregauge.core.Step;
import io.samphiregauge.schema.RecordBody;
import io.samphiregauge.schema.record.Incarnation;
import io.samphiregauge.schema.record.LogRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/**
 * Appends the records of one process in order and repeats them until they are read back; immutable.
 *
 * <p>At most one call is open at a time, because the fold ignores a record that lands after one
 * with a higher sequence number.
 *
 * @param writer the process
 * @param nextSequence sequence number of the next record
 * @param pending records that were not read back yet, in order
 * @param callId number of the newest call
 * @param callDeadlineMs when the open call counts as lost, or empty without one
 * @param failures failed calls since the last success
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

  /** Records that one call carries at most. */
  public static final int MAX_BATCH_RECORDS = 64;

  /** Time after which a call without an answer counts as lost. */
  public static final long CALL_TIMEOUT_MS = 2_000;

  static final long INITIAL_BACKOFF_MS = 100;
  static final long MAX_BACKOFF_MS = 2_000;
  private static final int MAX_BACKOFF_DOUBLINGS = 10;

  /**
   * A record on its way into the log.
   *
   * @param record the record
   * @param firstSentMs time before its first send, or empty before that
   * @param acknowledged whether the log answered that it is stored
   */
  public record Pending(LogRecord record, OptionalLong firstSentMs, boolean acknowledged) {}

  /**
   * A call that appends records in order; the next record is sent only after the one before it was
   * answered.
   *
   * @param callId number that the answer names
   * @param records the records
   */
  public record Append(long callId, List<LogRecord> records) {}

  /** What the writer is told. */
  public sealed interface Event {
    /** Time passed, or records were added. */
    record Tick() implements Event {}

    /** A call was answered: all its records are stored. */
    record Acknowledged(long callId) implements Event {}

    /** A call failed; some of its records may be stored. */
    record Failed(long callId) implements Event {}

    /** A record of this process was read in the log. */
    record ReadBack(long sequence) implements Event {}
  }

  /** Copies the pending records. */
  public LogWriter {
    pending = List.copyOf(pending);
  }

  /**
   * Makes the writer of a new process.
   *
   * @param writer the process
   * @return a writer without records
   */
  public static LogWriter of(Incarnation writer) {
    return new LogWriter(writer, 1, List.of(), 0, OptionalLong.empty(), 0, Long.MIN_VALUE);
  }

  /**
   * Adds a record, which the next step sends.
   *
   * @param body what the record says
   * @return the writer with the record
   */
  public LogWriter enqueue(RecordBody body) {
    List<Pending> extended = new ArrayList<>(pending);
    LogRecord record = new LogRecord(writer, nextSequence, body);
    extended.add(new Pending(record, OptionalLong.empty(), false));
    return new LogWriter(
        writer, nextSequence + 1, extended, callId, callDeadlineMs, failures, retryAtMs);
  }

  /**
   * Finds the time before the first send of a record. An append may have taken effect at any time
   * after it, so lease time counts from it.
   *
   * @param sequence sequence number of the record
   * @return the time, or empty where the record is not pending or was not sent
   */
  public OptionalLong firstSentMs(long sequence) {
    for (Pending candidate : pending) {
      if (candidate.record().getSequence() == sequence) {
        return candidate.firstSentMs();
      }
    }
    return OptionalLong.empty();
  }

  /**
   * Tells when the writer next needs a tick.
   *
   * @return the time, or empty where only an event changes anything
   */
  public OptionalLong deadlineMs() {
    if (callDeadlineMs.isPresent()) {
      return callDeadlineMs;
    }
    return unacknowledged().isEmpty() ? OptionalLong.empty() : OptionalLong.of(retryAtMs);
  }

  /**
   * Takes an event.
   *
   * @param event the event
   * @param nowMs current time
   * @param random source of the jitter between repeats
   * @return the next writer, and the calls to make
   */
  public Step<LogWriter, Append> handle(Event event, long nowMs, RandomSource random) {
    return applyEvent(event, nowMs, random).expireCall(nowMs, random).sendBatch(nowMs);
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

  private Step<LogWriter, Append> sendBatch(long nowMs) {
    List<Pending> batch = unacknowledged();
    if (callDeadlineMs.isPresent() || batch.isEmpty() || nowMs < retryAtMs) {
      return Step.to(this);
    }
    long lastSequence = batch.get(batch.size() - 1).record().getSequence();
    List<Pending> marked =
        pending.stream()
            .map(p -> p.record().getSequence() <= lastSequence ? markSent(p, nowMs) : p)
            .toList();
    LogWriter next =
        new LogWriter(
            writer,
            nextSequence,
            marked,
            callId + 1,
            OptionalLong.of(nowMs + CALL_TIMEOUT_MS),
            failures,
            retryAtMs);
    return Step.to(next, new Append(callId + 1, batch.stream().map(Pending::record).toList()));
  }

  private static Pending markSent(Pending record, long nowMs) {
    OptionalLong firstSent =
        record.firstSentMs().isPresent() ? record.firstSentMs() : OptionalLong.of(nowMs);
    return new Pending(record.record(), firstSent, record.acknowledged());
  }

  /** An answered call stored all that was sent, since each call starts at the first unanswered. */
  private List<Pending> acknowledgeSent() {
    return pending.stream()
        .map(p -> new Pending(p.record(), p.firstSentMs(), p.firstSentMs().isPresent()))
        .toList();
  }

  /** A record that was read is stored, and so are those before it. */
  private LogWriter removeReadBack(long sequence, long nowMs) {
    List<Pending> remaining =
        pending.stream().filter(p -> p.record().getSequence() > sequence).toList();
    boolean callDone =
        remaining.stream().noneMatch(p -> p.firstSentMs().isPresent() && !p.acknowledged());
    if (callDeadlineMs.isPresent() && callDone) {
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

  /** Waits between half and all of a doubling time, so that entries do not retry in step. */
  private long backoffMs(RandomSource random) {
    int doublings = Math.min(failures, MAX_BACKOFF_DOUBLINGS);
    long fullDelayMs = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS << doublings);
    return fullDelayMs / 2 + (long) (random.nextDouble() * (fullDelayMs / 2.0));
  }
}
