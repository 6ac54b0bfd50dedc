package io.samphiregauge.core.duty;

import io.samphiregauge.schema.gateway.DutyRecord;
import java.util.List;
import java.util.Optional;

/**
 * The lease on the fleet's duties, kept in one record of the store that is replaced by conditional
 * writes. Used by one thread; it knows neither clock nor store.
 *
 * <p>The holder counts its time from the moment at which it sent the write, a rival counts from the
 * moment at which it saw the write. A rival that waits for the whole lease therefore never acts
 * beside the holder, and no holder returns within one lease of its successor's first act.
 */
public final class DutyLease {
  private static final long NO_TOKEN = 0;

  private final String vm;
  private final long boot;
  private final long leaseMs;
  private final long marginMs;
  private Optional<Observation> lastObserved = Optional.empty();
  private long heldUntilMs = Long.MIN_VALUE;

  private record Observation(Optional<DutyRecord> value, long endOffset, long observedAtMs) {}

  /**
   * A conditional write of the register.
   *
   * @param value record to write
   * @param expectedEndOffset offset at which the register must end
   * @param sentMs monotonic time at which the write is sent
   */
  public record Write(DutyRecord value, long expectedEndOffset, long sentMs) {}

  /**
   * Makes a register that nothing is known of.
   *
   * @param vm this VM
   * @param boot start of this process
   * @param leaseMs time that a write holds the lease for
   * @param marginMs time before the end of the lease at which the holder stops to act
   */
  public DutyLease(String vm, long boot, long leaseMs, long marginMs) {
    this.vm = vm;
    this.boot = boot;
    this.leaseMs = leaseMs;
    this.marginMs = marginMs;
  }

  /**
   * Takes the register as it was read.
   *
   * @param value its record; empty before the first write
   * @param endOffset offset at which the register ends
   * @param nowMs monotonic time
   */
  public void onRead(Optional<DutyRecord> value, long endOffset, long nowMs) {
    if (lastObserved.map(last -> endOffset < last.endOffset()).orElse(false)) {
      return;
    }
    boolean same = lastObserved.map(last -> last.endOffset() == endOffset).orElse(false);
    if (!same) {
      lastObserved = Optional.of(new Observation(value, endOffset, nowMs));
      if (!value.map(this::isOwn).orElse(false)) {
        heldUntilMs = Long.MIN_VALUE;
      }
    }
  }

  /**
   * Notes that a write was accepted.
   *
   * @param write the write
   * @param endOffset offset at which the register ends since then
   */
  public void onWriteAccepted(Write write, long endOffset) {
    lastObserved =
        Optional.of(new Observation(Optional.of(write.value()), endOffset, write.sentMs()));
    heldUntilMs = write.sentMs() + leaseMs - marginMs;
  }

  /**
   * Returns whether this process may act as the holder.
   *
   * @param nowMs monotonic time
   * @return whether the lease holds with its margin
   */
  public boolean isHeld(long nowMs) {
    return nowMs < heldUntilMs;
  }

  /** Returns the monotonic time at which this process stops to act as the holder. */
  public long heldUntilMs() {
    return heldUntilMs;
  }

  /** Returns the fencing token of the newest record, 0 before the first. */
  public long token() {
    return lastObserved.flatMap(Observation::value).map(DutyRecord::getToken).orElse(NO_TOKEN);
  }

  /** Returns the newest record that is known. */
  public Optional<DutyRecord> latest() {
    return lastObserved.flatMap(Observation::value);
  }

  /**
   * Prepares a claim, if the lease is free.
   *
   * @param nowMs monotonic time
   * @return the write to send
   */
  public Optional<Write> prepareClaim(long nowMs) {
    return lastObserved
        .filter(last -> isFree(last, nowMs))
        .map(last -> new Write(claimRecord(last.value()), last.endOffset(), nowMs));
  }

  /**
   * Prepares a renewal, which may change what the register holds.
   *
   * @param next record to write; its holder and token are those of the current record
   * @param nowMs monotonic time
   * @return the write to send, if this process holds the lease
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
    // An earlier process of this VM has ended, and the condition of the write rules out a rival.
    boolean ownVm = observed.value().map(value -> value.getHolder().equals(vm)).orElse(true);
    return ownVm || nowMs - observed.observedAtMs() >= leaseMs;
  }

  private boolean isOwn(DutyRecord value) {
    return value.getHolder().equals(vm) && value.getBoot() == boot;
  }

  private DutyRecord claimRecord(Optional<DutyRecord> previous) {
    return new DutyRecord(
        vm,
        boot,
        previous.map(DutyRecord::getToken).orElse(NO_TOKEN) + 1,
        previous.map(DutyRecord::getTick).orElse(0L) + 1,
        previous.map(DutyRecord::getSealed).orElse(List.of()),
        previous.map(DutyRecord::getReportedWindow).orElse(0L));
  }
}
