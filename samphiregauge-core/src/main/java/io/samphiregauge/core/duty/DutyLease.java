package io.samphiregauge.core.duty;

import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.schema.gateway.DutyRecord;
import java.util.List;
import java.util.Optional;

/**
 * The lease on the fleet duties, kept in a register: a single record of the store that is replaced
 * by conditional writes. Not thread-safe; the caller provides the time and performs the reads and
 * writes.
 *
 * <p>The holder counts the lease from the time at which it sent the write, and a contender counts
 * it from the time at which it first observed the write. A contender that waits for the whole lease
 * therefore never acts concurrently with the holder, and a former holder cannot act again within
 * one lease of the first action of its successor.
 *
 * <p>The monotonic clock stops while a VM is suspended, and the wall clock may be set. The holder
 * therefore counts by the clock that advanced further, and gives the lease up if both disagree. A
 * contender counts by the monotonic clock alone, which never runs ahead.
 */
public final class DutyLease {
  private static final long NO_TOKEN = 0;

  private final String vm;
  private final long startMs;
  private final long leaseMs;
  private final long marginMs;
  private Optional<Observation> lastObserved = Optional.empty();
  private Optional<Tenure> tenure = Optional.empty();

  /**
   * The register as last read or written.
   *
   * @param value the newest record that could be read
   * @param readable whether that is the record in the register
   * @param endOffset end offset of the register
   * @param observedAt time of the observation
   */
  private record Observation(
      Optional<DutyRecord> value, boolean readable, long endOffset, DualTimestamp observedAt) {}

  /**
   * A conditional write to the register.
   *
   * @param value record to write
   * @param expectedEndOffset end offset of the register for which the write may succeed
   * @param sentAt time at which the write is sent
   */
  public record Write(DutyRecord value, long expectedEndOffset, DualTimestamp sentAt) {}

  /**
   * A time span in which this process may act as the holder; immutable.
   *
   * @param token fencing token of the span
   * @param since time from which the span counts
   * @param durationMs length of the span, in milliseconds
   */
  public record Tenure(long token, DualTimestamp since, long durationMs) {
    /**
     * Returns the time for which this process may still act.
     *
     * @param now current time
     * @return milliseconds; 0 if the span has ended or the clocks disagree about its length
     */
    public long remainingMs(DualTimestamp now) {
      return now.remainingMs(since, durationMs);
    }

    /**
     * Returns whether both clocks have advanced equally since the start of the span.
     *
     * @param now current time
     */
    public boolean clocksAgree(DualTimestamp now) {
      return now.agreesWith(since);
    }
  }

  /**
   * Creates the lease of a process that has not read the register yet.
   *
   * @param vm identifier of this VM
   * @param startMs start time of this process, which distinguishes it from earlier ones on its VM
   * @param leaseMs duration of the lease from the send time of a write
   * @param marginMs time before the end of the lease at which the holder stops acting
   */
  public DutyLease(String vm, long startMs, long leaseMs, long marginMs) {
    this.vm = vm;
    this.startMs = startMs;
    this.leaseMs = leaseMs;
    this.marginMs = marginMs;
  }

  /**
   * Handles the result of a read. Results that are older than the last observation are ignored; if
   * another process has written the record, this process no longer holds the lease.
   *
   * @param value record in the register; empty before the first write, or if it cannot be read
   * @param endOffset end offset of the register
   * @param now current time
   */
  public void onRead(Optional<DutyRecord> value, long endOffset, DualTimestamp now) {
    if (lastObserved.map(last -> endOffset < last.endOffset()).orElse(false)) {
      return;
    }
    boolean unchanged = lastObserved.map(last -> last.endOffset() == endOffset).orElse(false);
    if (!unchanged) {
      lastObserved =
          Optional.of(new Observation(value.or(this::latest), value.isPresent(), endOffset, now));
      if (!value.map(this::isOwn).orElse(false)) {
        tenure = Optional.empty();
      }
    }
  }

  /**
   * Records that a write was accepted. The lease counts from the send time of the write. The late
   * answer to a write that a newer one has replaced is ignored, as it would bring back its token.
   *
   * @param write the write
   * @param endOffset end offset of the register after the write
   */
  public void onWriteAccepted(Write write, long endOffset) {
    if (lastObserved.map(last -> endOffset < last.endOffset()).orElse(false)) {
      return;
    }
    lastObserved =
        Optional.of(new Observation(Optional.of(write.value()), true, endOffset, write.sentAt()));
    tenure = Optional.of(new Tenure(write.value().getToken(), write.sentAt(), leaseMs - marginMs));
  }

  /**
   * Returns whether this process may act as the holder.
   *
   * @param now current time
   * @return true if this process holds the lease and the margin has not begun
   */
  public boolean isHeld(DualTimestamp now) {
    return tenure.filter(span -> span.remainingMs(now) > 0).isPresent();
  }

  /** Returns the span in which this process may act, which may have ended already. */
  public Optional<Tenure> tenure() {
    return tenure;
  }

  /** Returns the fencing token of the newest known record, or 0 if there is none. */
  public long token() {
    return lastObserved.flatMap(Observation::value).map(DutyRecord::getToken).orElse(NO_TOKEN);
  }

  /** Returns the newest known record that could be read. */
  public Optional<DutyRecord> latest() {
    return lastObserved.flatMap(Observation::value);
  }

  /**
   * Prepares a claim of the lease.
   *
   * @param now current time
   * @return the write to send, or empty if the lease is not free
   */
  public Optional<Write> prepareClaim(DualTimestamp now) {
    return lastObserved
        .filter(last -> isFree(last, now))
        .map(last -> new Write(claimRecord(last), last.endOffset(), now));
  }

  /**
   * Prepares a renewal of the lease, which may also change the other fields of the record.
   *
   * @param next record to write, with the holder and token of the current record
   * @param now current time
   * @return the write to send, or empty if this process does not hold the lease
   */
  public Optional<Write> prepareRenewal(DutyRecord next, DualTimestamp now) {
    return lastObserved
        .filter(last -> isHeld(now))
        .map(last -> new Write(next, last.endOffset(), now));
  }

  private boolean isFree(Observation observed, DualTimestamp now) {
    if (isHeld(now)) {
      return false;
    }
    if (now.monotonicMs() - observed.observedAt().monotonicMs() >= leaseMs) {
      return true;
    }
    // An earlier process of this VM must have ended, and the conditional write fails if another VM
    // claims the lease first. A register without a readable record was never written, or its
    // holder is unknown and may still act.
    return observed.readable()
        ? observed.value().filter(value -> value.getHolder().equals(vm)).isPresent()
        : observed.endOffset() == 0;
  }

  private boolean isOwn(DutyRecord value) {
    return value.getHolder().equals(vm) && value.getBoot() == startMs;
  }

  /**
   * Returns the record of a claim. The end offset grows with each write to the register, so the
   * token increases also if the record before it is missing or cannot be read.
   */
  private DutyRecord claimRecord(Observation observed) {
    Optional<DutyRecord> previous = observed.value();
    long lastToken = previous.map(DutyRecord::getToken).orElse(NO_TOKEN);
    return new DutyRecord(
        vm,
        startMs,
        Math.max(lastToken, observed.endOffset()) + 1,
        previous.map(DutyRecord::getTick).orElse(0L) + 1,
        previous.map(DutyRecord::getSealed).orElse(List.of()),
        previous.map(DutyRecord::getReportedWindow).orElse(0L));
  }
}
