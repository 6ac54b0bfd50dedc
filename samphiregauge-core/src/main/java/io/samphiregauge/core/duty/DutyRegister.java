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
public final class DutyRegister {
  private static final long NO_TOKEN = 0;

  private final String vm;
  private final long boot;
  private final long leaseMs;
  private final long marginMs;
  private Optional<Seen> seen = Optional.empty();
  private long heldUntilMs = Long.MIN_VALUE;

  private record Seen(Optional<DutyRecord> value, long endOffset, long sinceMs) {}

  /**
   * A conditional write of the register.
   *
   * @param value record to write
   * @param atOffset offset at which the register must end
   * @param sentMs monotonic time at which the write is sent
   */
  public record Write(DutyRecord value, long atOffset, long sentMs) {}

  /**
   * Makes a register that nothing is known of.
   *
   * @param vm this VM
   * @param boot start of this process
   * @param leaseMs time that a write holds the lease for
   * @param marginMs time before the end of the lease at which the holder stops to act
   */
  public DutyRegister(String vm, long boot, long leaseMs, long marginMs) {
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
  public void read(Optional<DutyRecord> value, long endOffset, long nowMs) {
    if (seen.map(last -> endOffset < last.endOffset()).orElse(false)) {
      return;
    }
    boolean same = seen.map(last -> last.endOffset() == endOffset).orElse(false);
    if (!same) {
      seen = Optional.of(new Seen(value, endOffset, nowMs));
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
  public void written(Write write, long endOffset) {
    seen = Optional.of(new Seen(Optional.of(write.value()), endOffset, write.sentMs()));
    heldUntilMs = write.sentMs() + leaseMs - marginMs;
  }

  /**
   * Returns whether this process may act as the holder.
   *
   * @param nowMs monotonic time
   * @return whether the lease holds with its margin
   */
  public boolean holds(long nowMs) {
    return nowMs < heldUntilMs;
  }

  /** Returns the monotonic time at which this process stops to act as the holder. */
  public long heldUntilMs() {
    return heldUntilMs;
  }

  /** Returns the fencing token of the newest record, 0 before the first. */
  public long token() {
    return seen.flatMap(Seen::value).map(DutyRecord::getToken).orElse(NO_TOKEN);
  }

  /** Returns the newest record that is known. */
  public Optional<DutyRecord> value() {
    return seen.flatMap(Seen::value);
  }

  /**
   * Prepares a claim, if the lease is free.
   *
   * @param nowMs monotonic time
   * @return the write to send
   */
  public Optional<Write> claim(long nowMs) {
    return seen.filter(last -> isFree(last, nowMs))
        .map(last -> new Write(claimed(last.value()), last.endOffset(), nowMs));
  }

  /**
   * Prepares a renewal, which may change what the register holds.
   *
   * @param next record to write; its holder and token are those of the current record
   * @param nowMs monotonic time
   * @return the write to send, if this process holds the lease
   */
  public Optional<Write> renew(DutyRecord next, long nowMs) {
    return seen.filter(last -> holds(nowMs)).map(last -> new Write(next, last.endOffset(), nowMs));
  }

  private boolean isFree(Seen last, long nowMs) {
    if (holds(nowMs)) {
      return false;
    }
    // An earlier process of this VM has ended, and the condition of the write rules out a rival.
    boolean ownVm = last.value().map(value -> value.getHolder().equals(vm)).orElse(true);
    return ownVm || nowMs - last.sinceMs() >= leaseMs;
  }

  private boolean isOwn(DutyRecord value) {
    return value.getHolder().equals(vm) && value.getBoot() == boot;
  }

  private DutyRecord claimed(Optional<DutyRecord> last) {
    return new DutyRecord(
        vm,
        boot,
        last.map(DutyRecord::getToken).orElse(NO_TOKEN) + 1,
        last.map(DutyRecord::getTick).orElse(0L) + 1,
        last.map(DutyRecord::getSealed).orElse(List.of()),
        last.map(DutyRecord::getReportedWindow).orElse(0L));
  }
}
