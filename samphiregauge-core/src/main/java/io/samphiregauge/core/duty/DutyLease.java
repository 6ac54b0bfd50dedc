package io.samphiregauge.core.duty;

import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.StorePosition;
import io.samphiregauge.schema.gateway.DutyRecord;
import io.samphiregauge.schema.gateway.SealedUsage;
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
 *
 * <p>A restore of the store may remove the newest records of the register. Tokens therefore begin
 * with the era of the store, a restore ends the lease, and a record of an earlier era grants
 * nothing: after a restore, everybody waits for a whole lease.
 */
public final class DutyLease {
  private static final long NO_TOKEN = 0;

  /** Tokens per era: renewals of one era at an interval of a second last for a century. */
  private static final long TOKENS_PER_ERA = 1L << 32;

  private final String vm;
  private final long startMs;
  private final long leaseMs;
  private final long marginMs;
  private Optional<Observation> lastObserved = Optional.empty();
  private long newestEra = StorePosition.FIRST_ERA;
  private Optional<Tenure> tenure = Optional.empty();

  /**
   * The register as last read or written.
   *
   * @param value the newest record that could be read
   * @param readable whether that is the record in the register
   * @param position end of the register
   * @param observedAt time of the observation
   */
  private record Observation(
      Optional<DutyRecord> value,
      boolean readable,
      StorePosition position,
      DualTimestamp observedAt) {
    /** Returns whether the register holds a readable record that was prepared for its own era. */
    boolean isCurrent() {
      return readable && value.filter(record -> eraOf(record) == position.era()).isPresent();
    }
  }

  /**
   * A conditional write to the register.
   *
   * @param value record to write
   * @param expected end of the register for which the write may succeed
   * @param sentAt time at which the write is sent
   */
  public record Write(DutyRecord value, StorePosition expected, DualTimestamp sentAt) {}

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
   * @param position end of the register
   * @param now current time
   */
  public void onRead(Optional<DutyRecord> value, StorePosition position, DualTimestamp now) {
    onEra(position.era());
    if (isOutdated(position) || isLastObserved(position)) {
      return;
    }
    lastObserved =
        Optional.of(new Observation(value.or(this::latest), value.isPresent(), position, now));
    // A late write of an earlier era may bring back an older record of this process.
    tenure = tenure.filter(span -> value.filter(record -> isRecordOf(span, record)).isPresent());
  }

  /**
   * Handles the era in an answer of the store. A new era ends the lease, because the register may
   * not hold its record any more.
   *
   * @param era era of the store
   */
  public void onEra(long era) {
    if (era > newestEra) {
      newestEra = era;
      tenure = Optional.empty();
    }
  }

  private boolean isOutdated(StorePosition position) {
    return position.era() < newestEra
        || lastObserved.filter(last -> position.compareTo(last.position()) < 0).isPresent();
  }

  private boolean isLastObserved(StorePosition position) {
    return lastObserved.filter(last -> position.equals(last.position())).isPresent();
  }

  /**
   * Records that a write was accepted. The lease counts from the send time of the write. The late
   * answer to a write that a newer one has replaced is ignored, as it would bring back its token. A
   * write that a restored store accepted grants nothing: the offset that it expected was assigned
   * again, and may follow the record of another holder.
   *
   * @param write the write
   * @param position end of the register after the write
   */
  public void onWriteAccepted(Write write, StorePosition position) {
    onEra(position.era());
    if (isOutdated(position) || position.era() != write.expected().era()) {
      return;
    }
    lastObserved =
        Optional.of(new Observation(Optional.of(write.value()), true, position, write.sentAt()));
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
   * @param newestSealableWindow newest usage window that another holder may have sealed by now; it
   *     may be later if the clock of that holder is ahead by more than the duration of the lease
   * @return the write to send, or empty if the lease is not free
   */
  public Optional<Write> prepareClaim(DualTimestamp now, long newestSealableWindow) {
    return lastObserved
        .filter(last -> isFree(last, now))
        .map(last -> new Write(claimRecord(last, newestSealableWindow), last.position(), now));
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
        .map(last -> new Write(next, last.position(), now));
  }

  private boolean isFree(Observation observed, DualTimestamp now) {
    if (isHeld(now) || observed.position().era() < newestEra) {
      return false;
    }
    if (now.monotonicMs() - observed.observedAt().monotonicMs() >= leaseMs) {
      return true;
    }
    // An earlier process of this VM must have ended, and the conditional write fails if another VM
    // claims the lease first. A register without a current record was never written, or its
    // holder is unknown and may still act.
    return observed.isCurrent()
        ? observed.value().filter(value -> value.getHolder().equals(vm)).isPresent()
        : observed.position().isBeforeAnyRecord();
  }

  /**
   * Returns the era of a record, left out before the first restore so that older entries read it.
   */
  private static Optional<Long> eraField(StorePosition position) {
    return Optional.of(position.era()).filter(era -> era != StorePosition.FIRST_ERA);
  }

  private static long eraOf(DutyRecord value) {
    return value.getEra().orElse(StorePosition.FIRST_ERA);
  }

  private boolean isRecordOf(Tenure span, DutyRecord value) {
    return value.getHolder().equals(vm)
        && value.getBoot() == startMs
        && value.getToken() == span.token();
  }

  /**
   * Returns the record of a claim. The position grows with each write to the register, so the token
   * increases also if the record before it is missing, lost or cannot be read.
   */
  private DutyRecord claimRecord(Observation observed, long newestSealableWindow) {
    Optional<DutyRecord> previous = observed.value();
    StorePosition position = observed.position();
    long lastToken = previous.map(DutyRecord::getToken).orElse(NO_TOKEN);
    boolean figuresLost = !observed.isCurrent() && !position.isBeforeAnyRecord();
    return new DutyRecord(
        vm,
        startMs,
        Math.max(lastToken, position.era() * TOKENS_PER_ERA + position.endOffset()) + 1,
        previous.map(DutyRecord::getTick).orElse(0L) + 1,
        figuresLost ? List.of() : previous.map(DutyRecord::getSealed).orElse(List.of()),
        figuresLost
            ? newestPossiblyReportedWindow(previous, newestSealableWindow)
            : previous.map(DutyRecord::getReportedWindow).orElse(0L),
        eraField(position).orElse(null));
  }

  /**
   * Returns the newest window that may have been reported by a holder whose record is lost. A
   * second report of it could differ from the first.
   */
  private static long newestPossiblyReportedWindow(
      Optional<DutyRecord> previous, long newestSealableWindow) {
    long reported = previous.map(DutyRecord::getReportedWindow).orElse(0L);
    return previous.stream()
        .flatMap(record -> record.getSealed().stream())
        .mapToLong(SealedUsage::getWindow)
        .reduce(Math.max(reported, newestSealableWindow), Math::max);
  }
}
