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
 * @param call number of the newest call
 * @param callDeadlineMs when the open call counts as lost, or empty without one
 * @param failures failed calls since the last success
 * @param retryAtMs earliest time of the next call
 */
public record LogWriter(
    Incarnation writer,
    long nextSequence,
    List<Pending> pending,
    long call,
    OptionalLong callDeadlineMs,
    int failures,
    long retryAtMs) {

  /** Records that one call carries at most. */
  public static final int MAX_BATCH_RECORDS = 64;

  /** Time after which a call without an answer counts as lost. */
  public static final long CALL_TIMEOUT_MS = 2_000;

  static final long FIRST_BACKOFF_MS = 100;
  static final long MAX_BACKOFF_MS = 2_000;
  private static final int MAX_BACKOFF_DOUBLINGS = 10;

  /**
   * A record on its way into the log.
   *
   * @param entry the record
   * @param firstSentMs time before its first send, or empty before that
   * @param answered whether the log answered that it is stored
   */
  public record Pending(LogRecord entry, OptionalLong firstSentMs, boolean answered) {}

  /**
   * A call that appends records in order; the next record is sent only after the one before it was
   * answered.
   *
   * @param call number that the answer names
   * @param records the records
   */
  public record Append(long call, List<LogRecord> records) {}

  /** What the writer is told. */
  public sealed interface Event {
    /** Time passed, or records were added. */
    record Tick() implements Event {}

    /** A call was answered: all its records are stored. */
    record Answered(long call) implements Event {}

    /** A call failed; some of its records may be stored. */
    record Failed(long call) implements Event {}

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
  public LogWriter write(RecordBody body) {
    List<Pending> more = new ArrayList<>(pending);
    LogRecord entry = new LogRecord(writer, nextSequence, body);
    more.add(new Pending(entry, OptionalLong.empty(), false));
    return new LogWriter(writer, nextSequence + 1, more, call, callDeadlineMs, failures, retryAtMs);
  }

  /**
   * Finds the time before the first send of a record. An append may have taken effect at any time
   * after it, so lease time counts from it.
   *
   * @param sequence sequence number of the record
   * @return the time, or empty where the record is not pending or was not sent
   */
  public OptionalLong firstSentMs(long sequence) {
    for (Pending one : pending) {
      if (one.entry().getSequence() == sequence) {
        return one.firstSentMs();
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
    return unanswered().isEmpty() ? OptionalLong.empty() : OptionalLong.of(retryAtMs);
  }

  /**
   * Takes an event.
   *
   * @param event the event
   * @param nowMs current time
   * @param random source of the jitter between repeats
   * @return the next writer, and the calls to make
   */
  public Step<LogWriter, Append> on(Event event, long nowMs, RandomSource random) {
    return settle(event, nowMs, random).loseCall(nowMs, random).send(nowMs);
  }

  private LogWriter settle(Event event, long nowMs, RandomSource random) {
    if (event instanceof Event.ReadBack read) {
      return readBack(read.sequence(), nowMs);
    }
    if (event instanceof Event.Answered answered && isOpen(answered.call())) {
      return closeCall(answerSent(), 0, nowMs);
    }
    if (event instanceof Event.Failed failed && isOpen(failed.call())) {
      return closeCall(pending, failures + 1, nowMs + backoffMs(random));
    }
    return this;
  }

  private LogWriter loseCall(long nowMs, RandomSource random) {
    if (callDeadlineMs.isEmpty() || nowMs < callDeadlineMs.getAsLong()) {
      return this;
    }
    return closeCall(pending, failures + 1, nowMs + backoffMs(random));
  }

  private Step<LogWriter, Append> send(long nowMs) {
    List<Pending> batch = unanswered();
    if (callDeadlineMs.isPresent() || batch.isEmpty() || nowMs < retryAtMs) {
      return Step.to(this);
    }
    long last = batch.get(batch.size() - 1).entry().getSequence();
    List<Pending> marked =
        pending.stream().map(p -> p.entry().getSequence() <= last ? sent(p, nowMs) : p).toList();
    LogWriter next =
        new LogWriter(
            writer,
            nextSequence,
            marked,
            call + 1,
            OptionalLong.of(nowMs + CALL_TIMEOUT_MS),
            failures,
            retryAtMs);
    return Step.to(next, new Append(call + 1, batch.stream().map(Pending::entry).toList()));
  }

  private static Pending sent(Pending one, long nowMs) {
    OptionalLong first = one.firstSentMs().isPresent() ? one.firstSentMs() : OptionalLong.of(nowMs);
    return new Pending(one.entry(), first, one.answered());
  }

  /** An answered call stored all that was sent, since each call starts at the first unanswered. */
  private List<Pending> answerSent() {
    return pending.stream()
        .map(p -> new Pending(p.entry(), p.firstSentMs(), p.firstSentMs().isPresent()))
        .toList();
  }

  /** A record that was read is stored, and so are those before it. */
  private LogWriter readBack(long sequence, long nowMs) {
    List<Pending> rest = pending.stream().filter(p -> p.entry().getSequence() > sequence).toList();
    boolean callDone = rest.stream().noneMatch(p -> p.firstSentMs().isPresent() && !p.answered());
    if (callDeadlineMs.isPresent() && callDone) {
      return closeCall(rest, 0, nowMs);
    }
    return new LogWriter(writer, nextSequence, rest, call, callDeadlineMs, failures, retryAtMs);
  }

  private LogWriter closeCall(List<Pending> left, int failedCalls, long nextCallMs) {
    return new LogWriter(
        writer, nextSequence, left, call, OptionalLong.empty(), failedCalls, nextCallMs);
  }

  private boolean isOpen(long number) {
    return callDeadlineMs.isPresent() && number == call;
  }

  private List<Pending> unanswered() {
    return pending.stream().filter(p -> !p.answered()).limit(MAX_BATCH_RECORDS).toList();
  }

  /** Waits between half and all of a doubling time, so that entries do not retry in step. */
  private long backoffMs(RandomSource random) {
    int doublings = Math.min(failures, MAX_BACKOFF_DOUBLINGS);
    long whole = Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS << doublings);
    return whole / 2 + (long) (random.nextFraction() * (whole / 2.0));
  }
}
