package io.samphiregauge.core.duty;

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
 */
public final class DutyLease {
  private static final long NO_TOKEN = 0;

  private final String vm;
  private final long startMs;
  private final long leaseMs;
  private final long marginMs;
  private Optional<Observation> lastObserved = Optional.empty();
  private long heldUntilMs = Long.MIN_VALUE;

  /**
   * The register as last read or written, and the monotonic time at which that was observed.
   *
   * @param value the newest record that could be read
   * @param readable whether that is the record in the register
   * @param endOffset end offset of the register
   * @param observedAtMs monotonic time of the observation
   */
  private record Observation(
      Optional<DutyRecord> value, boolean readable, long endOffset, long observedAtMs) {}

  /**
   * A conditional write to the register.
   *
   * @param value record to write
   * @param expectedEndOffset end offset of the register for which the write may succeed
   * @param sentMs monotonic time at which the write is sent
   */
  public record Write(DutyRecord value, long expectedEndOffset, long sentMs) {}

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
   * @param nowMs current monotonic time
   */
  public void onRead(Optional<DutyRecord> value, long endOffset, long nowMs) {
    if (lastObserved.map(last -> endOffset < last.endOffset()).orElse(false)) {
      return;
    }
    boolean unchanged = lastObserved.map(last -> last.endOffset() == endOffset).orElse(false);
    if (!unchanged) {
      lastObserved =
          Optional.of(new Observation(value.or(this::latest), value.isPresent(), endOffset, nowMs));
      if (!value.map(this::isOwn).orElse(false)) {
        heldUntilMs = Long.MIN_VALUE;
      }
    }
  }

  /**
   * Records that a write was accepted. The lease counts from the send time of the write.
   *
   * @param write the write
   * @param endOffset end offset of the register after the write
   */
  public void onWriteAccepted(Write write, long endOffset) {
    lastObserved =
        Optional.of(new Observation(Optional.of(write.value()), true, endOffset, write.sentMs()));
    heldUntilMs = write.sentMs() + leaseMs - marginMs;
  }

  /**
   * Returns whether this process may act as the holder.
   *
   * @param nowMs current monotonic time
   * @return true if this process holds the lease and the margin has not begun
   */
  public boolean isHeld(long nowMs) {
    return nowMs < heldUntilMs;
  }

  /** Returns the monotonic time at which this process must stop acting as the holder. */
  public long heldUntilMs() {
    return heldUntilMs;
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
   * @param nowMs current monotonic time
   * @return the write to send, or empty if the lease is not free
   */
  public Optional<Write> prepareClaim(long nowMs) {
    return lastObserved
        .filter(last -> isFree(last, nowMs))
        .map(last -> new Write(claimRecord(last), last.endOffset(), nowMs));
  }

  /**
   * Prepares a renewal of the lease, which may also change the other fields of the record.
   *
   * @param next record to write, with the holder and token of the current record
   * @param nowMs current monotonic time
   * @return the write to send, or empty if this process does not hold the lease
   */
  public Optional<Write> prepareRenewal(DutyRecord next, long nowMs) {
    return lastObserved
        .filter(last -> isHeld(nowMs))
        .map(last -> new Write(next, last.endOffset(), nowMs));
  }

  private boolean isFree(Observation observed, long nowMs) {
    if (isHeld(nowMs)) {
      return false;
    }
    // An earlier process of this VM must have ended, and the conditional write fails if another VM
    // claims the lease first.
    boolean ownVm =
        observed.readable()
            ? observed.value().filter(value -> value.getHolder().equals(vm)).isPresent()
            : observed.endOffset() == 0;
    return ownVm || nowMs - observed.observedAtMs() >= leaseMs;
  }

  private boolean isOwn(DutyRecord value) {
    return value.getHolder().equals(vm) && value.getBoot() == startMs;
  }

  private DutyRecord claimRecord(Observation observed) {
    Optional<DutyRecord> previous = observed.value();
    long knownToken = previous.map(DutyRecord::getToken).orElse(NO_TOKEN);
    // Each claim is a write, so the end offset is not below the token of a record that cannot be
    // read.
    long newestToken =
        observed.readable() ? knownToken : Math.max(knownToken, observed.endOffset());
    return new DutyRecord(
        vm,
        startMs,
        newestToken + 1,
        previous.map(DutyRecord::getTick).orElse(0L) + 1,
        previous.map(DutyRecord::getSealed).orElse(List.of()),
        previous.map(DutyRecord::getReportedWindow).orElse(0L));
  }
}
