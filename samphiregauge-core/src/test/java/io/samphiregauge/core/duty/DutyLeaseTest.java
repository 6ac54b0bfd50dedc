package io.samphiregauge.core.duty;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.StorePosition;
import io.samphiregauge.schema.gateway.DutyRecord;
import io.samphiregauge.schema.gateway.SealedUsage;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class DutyLeaseTest {
  private static final long LEASE_MS = 3_500;
  private static final long MARGIN_MS = 700;

  /** Minimum time between two actions of one entry if another entry acts between them. */
  private static final long MIN_ALTERNATION_MS = 3_000;

  private static final long NO_WINDOW = 0;

  private static final long WALL_OFFSET_MS = 1_700_000_000_000L;

  /** Returns a time at which both clocks have advanced equally. */
  private static DualTimestamp at(long ms) {
    return new DualTimestamp(ms, WALL_OFFSET_MS + ms);
  }

  /** Returns the end of a register whose store was never restored. */
  private static StorePosition end(long endOffset) {
    return new StorePosition(StorePosition.FIRST_ERA, endOffset);
  }

  private static DutyLease newLease(String vm) {
    return new DutyLease(vm, 1, LEASE_MS, MARGIN_MS);
  }

  /** Guards against an entry that acts after its lease has expired. */
  @Test
  void holdsOnlyUntilTheMarginBeforeTheLeaseEnds() {
    DutyLease lease = newLease("a");
    lease.onRead(Optional.empty(), end(0), at(100));
    DutyLease.Write claim = lease.prepareClaim(at(100), NO_WINDOW).orElseThrow();
    assertThat(lease.isHeld(at(100))).isFalse();
    lease.onWriteAccepted(claim, end(1));
    assertThat(lease.isHeld(at(100 + LEASE_MS - MARGIN_MS - 1))).isTrue();
    assertThat(lease.isHeld(at(100 + LEASE_MS - MARGIN_MS))).isFalse();
  }

  /** Guards against a holder that acts on although its VM was suspended for the whole lease. */
  @Test
  void suspensionEndsTheLeaseThoughTheMonotonicClockStoodStill() {
    DutyLease lease = newLease("a");
    lease.onRead(Optional.empty(), end(0), at(100));
    lease.onWriteAccepted(lease.prepareClaim(at(100), NO_WINDOW).orElseThrow(), end(1));
    DualTimestamp afterSuspension = new DualTimestamp(110, WALL_OFFSET_MS + 5_110);
    assertThat(lease.isHeld(afterSuspension)).isFalse();
    assertThat(lease.prepareRenewal(lease.latest().orElseThrow(), afterSuspension)).isEmpty();
  }

  /** Guards against an accepted write whose answer arrives after a suspension. */
  @Test
  void answerAfterASuspensionGrantsNothing() {
    DutyLease lease = newLease("a");
    lease.onRead(Optional.empty(), end(0), at(100));
    DutyLease.Write claim = lease.prepareClaim(at(100), NO_WINDOW).orElseThrow();
    lease.onWriteAccepted(claim, end(1));
    assertThat(lease.isHeld(new DualTimestamp(110, WALL_OFFSET_MS + 5_110))).isFalse();
  }

  /** Guards against a suspension that is hidden because the wall clock was set back as well. */
  @Test
  void holderGivesUpItsLeaseWhenTheClocksDisagree() {
    DutyLease lease = newLease("a");
    lease.onRead(Optional.empty(), end(0), at(100));
    lease.onWriteAccepted(lease.prepareClaim(at(100), NO_WINDOW).orElseThrow(), end(1));
    assertThat(lease.isHeld(new DualTimestamp(200, WALL_OFFSET_MS - 1_800))).isFalse();
  }

  /** Guards against a contender whose wall clock runs ahead and that claims too early. */
  @Test
  void contenderDoesNotCountByTheWallClock() {
    DutyLease contender = newLease("b");
    contender.onRead(
        Optional.of(new DutyRecord("a", 1, 4, 9, List.of(), 0, null)), end(7), at(1_000));
    DualTimestamp clockSetForward = new DualTimestamp(1_100, WALL_OFFSET_MS + 9_000);
    assertThat(contender.prepareClaim(clockSetForward, NO_WINDOW)).isEmpty();
  }

  /** Guards against a claim before a whole lease has passed on the contender's own clock. */
  @Test
  void contenderWaitsForTheWholeLeaseFromItsOwnObservation() {
    DutyLease contender = newLease("b");
    contender.onRead(
        Optional.of(new DutyRecord("a", 1, 4, 9, List.of(), 0, null)), end(7), at(1_000));
    assertThat(contender.prepareClaim(at(1_000 + LEASE_MS - 1), NO_WINDOW)).isEmpty();
    DutyLease.Write claim = contender.prepareClaim(at(1_000 + LEASE_MS), NO_WINDOW).orElseThrow();
    assertThat(claim.expected()).isEqualTo(end(7));
    assertThat(claim.value().getToken()).isEqualTo(8);
    contender.onRead(
        Optional.of(new DutyRecord("a", 1, 4, 10, List.of(), 0, null)), end(8), at(2_000));
    assertThat(contender.prepareClaim(at(1_000 + LEASE_MS), NO_WINDOW)).isEmpty();
  }

  /** Guards against a restart after which nobody performs the duties for a whole lease. */
  @Test
  void restartedProcessClaimsTheLeaseOfItsOwnVmImmediately() {
    DutyLease lease = new DutyLease("a", 2, LEASE_MS, MARGIN_MS);
    lease.onRead(Optional.of(new DutyRecord("a", 1, 4, 9, List.of(), 0, null)), end(7), at(1_000));
    assertThat(lease.isHeld(at(1_000))).isFalse();
    assertThat(lease.prepareClaim(at(1_000), NO_WINDOW).orElseThrow().value().getToken())
        .isEqualTo(8);
  }

  /**
   * Guards against a claim that starts again with the first token, at once, because the record of
   * the current holder cannot be read.
   */
  @Test
  void unreadableRecordNeitherFreesTheLeaseNorResetsTheToken() {
    DutyLease contender = newLease("b");
    contender.onRead(Optional.empty(), end(7), at(1_000));
    assertThat(contender.prepareClaim(at(1_000 + LEASE_MS - 1), NO_WINDOW)).isEmpty();
    DutyLease.Write claim = contender.prepareClaim(at(1_000 + LEASE_MS), NO_WINDOW).orElseThrow();
    assertThat(claim.expected()).isEqualTo(end(7));
    assertThat(claim.value().getToken()).isGreaterThan(7);
  }

  /** Guards against a token that falls behind one that was not derived from the offset. */
  @Test
  void tokenExceedsThatOfTheRecordBeforeAlsoIfTheOffsetIsLower() {
    DutyLease contender = newLease("b");
    contender.onRead(
        Optional.of(new DutyRecord("a", 1, 40, 9, List.of(), 0, null)), end(7), at(1_000));
    DutyLease.Write claim = contender.prepareClaim(at(1_000 + LEASE_MS), NO_WINDOW).orElseThrow();
    assertThat(claim.value().getToken()).isEqualTo(41);
  }

  /**
   * Guards against an older token that comes back with the late answer to a claim, after a second
   * claim of the same process was accepted.
   */
  @Test
  void lateAnswerToAnOlderClaimDoesNotBringItsTokenBack() {
    DutyLease lease = newLease("a");
    lease.onRead(Optional.empty(), end(0), at(100));
    DutyLease.Write first = lease.prepareClaim(at(100), NO_WINDOW).orElseThrow();
    lease.onRead(Optional.of(first.value()), end(1), at(700));
    DutyLease.Write second = lease.prepareClaim(at(700), NO_WINDOW).orElseThrow();
    lease.onWriteAccepted(second, end(2));
    lease.onWriteAccepted(first, end(1));
    assertThat(lease.tenure().orElseThrow().token()).isEqualTo(second.value().getToken());
    assertThat(lease.token()).isEqualTo(second.value().getToken());
  }

  /** Guards against an outdated read of the register that replaces a newer record. */
  @Test
  void ignoresAnOlderRead() {
    DutyLease lease = newLease("a");
    lease.onRead(Optional.of(new DutyRecord("b", 1, 4, 9, List.of(), 0, null)), end(7), at(1_000));
    lease.onRead(Optional.of(new DutyRecord("c", 1, 3, 8, List.of(), 0, null)), end(6), at(1_100));
    assertThat(lease.token()).isEqualTo(4);
  }

  /**
   * Guards against reporting usage again, with other counts, after a record that cannot be read.
   */
  @Test
  void unreadableRecordEndsTheReportsOfAllWindowsThatItMayHold() {
    SealedUsage sealed = new SealedUsage(17, Map.of("team", 4L));
    DutyLease holder = newLease("a");
    holder.onRead(
        Optional.of(new DutyRecord("a", 0, 4, 9, List.of(sealed), 16, null)), end(7), at(100));
    DutyLease.Write own = holder.prepareClaim(at(100), NO_WINDOW).orElseThrow();
    holder.onWriteAccepted(own, end(8));
    holder.onRead(Optional.empty(), end(9), at(200));
    assertThat(holder.isHeld(at(201))).isFalse();
    assertThat(holder.prepareClaim(at(200 + LEASE_MS - 1), NO_WINDOW)).isEmpty();
    DutyRecord next = holder.prepareClaim(at(200 + LEASE_MS), 19).orElseThrow().value();
    assertThat(next.getToken()).isGreaterThan(9);
    assertThat(next.getSealed()).isEmpty();
    assertThat(next.getReportedWindow()).isEqualTo(19);
  }

  /**
   * Guards against a token that two holders use: the store forgets the claim of the first, and the
   * second counts on from the same older record.
   */
  @Test
  void restoredStoreDoesNotAssignATokenAgain() {
    DutyRecord old = new DutyRecord("c", 1, 4, 9, List.of(), 0, null);
    DutyLease first = newLease("a");
    first.onRead(Optional.of(old), end(7), at(1_000));
    DutyLease.Write lost = first.prepareClaim(at(1_000 + LEASE_MS), NO_WINDOW).orElseThrow();
    first.onWriteAccepted(lost, end(8));
    DutyLease second = newLease("b");
    second.onRead(Optional.of(old), new StorePosition(1, 7), at(5_000));
    DutyLease.Write claim = second.prepareClaim(at(5_000 + LEASE_MS), NO_WINDOW).orElseThrow();
    assertThat(claim.value().getToken()).isGreaterThan(lost.value().getToken());
  }

  /** Guards against a holder that acts on after the store has lost its record. */
  @Test
  void restoreEndsTheLease() {
    DutyLease holder = newLease("a");
    holder.onRead(Optional.empty(), end(0), at(100));
    holder.onWriteAccepted(holder.prepareClaim(at(100), NO_WINDOW).orElseThrow(), end(1));
    holder.onEra(1);
    assertThat(holder.isHeld(at(101))).isFalse();
    assertThat(holder.prepareClaim(at(100 + LEASE_MS), NO_WINDOW)).isEmpty();
  }

  /**
   * Guards against an entry that takes an older record of its own VM in a restored store for the
   * lease, while the successor that the store forgot still acts.
   */
  @Test
  void recordOfAnEarlierEraDoesNotFreeTheLeaseForItsOwnVm() {
    DutyLease lease = new DutyLease("a", 2, LEASE_MS, MARGIN_MS);
    Optional<DutyRecord> own = Optional.of(new DutyRecord("a", 1, 4, 9, List.of(), 0, null));
    lease.onRead(own, new StorePosition(1, 7), at(1_000));
    assertThat(lease.prepareClaim(at(1_000 + LEASE_MS - 1), NO_WINDOW)).isEmpty();
    assertThat(lease.prepareClaim(at(1_000 + LEASE_MS), NO_WINDOW)).isPresent();
  }

  /** Guards against a claim at once in a register that is empty because the store was restored. */
  @Test
  void emptyRegisterOfARestoredStoreIsNotFree() {
    DutyLease lease = newLease("a");
    lease.onRead(Optional.empty(), new StorePosition(1, 0), at(1_000));
    assertThat(lease.prepareClaim(at(1_000 + LEASE_MS - 1), NO_WINDOW)).isEmpty();
  }

  /** Guards against a write of an earlier era that grants the lease of a restored store. */
  @Test
  void writeThatARestoredStoreAcceptsGrantsNothing() {
    DutyLease lease = newLease("a");
    lease.onRead(Optional.empty(), end(0), at(100));
    DutyLease.Write claim = lease.prepareClaim(at(100), NO_WINDOW).orElseThrow();
    lease.onWriteAccepted(claim, new StorePosition(1, 1));
    assertThat(lease.isHeld(at(101))).isFalse();
  }

  /** Guards against a second report of a window, with other counts, after the first was lost. */
  @Test
  void windowsThatMayBeReportedAreNotReportedAfterARestore() {
    SealedUsage sealed = new SealedUsage(17, Map.of("team", 4L));
    DutyLease lease = newLease("a");
    lease.onRead(
        Optional.of(new DutyRecord("b", 0, 4, 9, List.of(sealed), 16, null)),
        new StorePosition(1, 7),
        at(100));
    DutyRecord next = lease.prepareClaim(at(100 + LEASE_MS), 19).orElseThrow().value();
    assertThat(next.getSealed()).isEmpty();
    assertThat(next.getReportedWindow()).isEqualTo(19);
  }

  /** A simulated entry whose clock is offset from the simulated time by a constant. */
  private static final class Entry {
    final DutyLease lease;
    private final long clockOffsetMs;
    private long suspendedMs;

    Entry(String vm, long clockOffsetMs) {
      lease = newLease(vm);
      this.clockOffsetMs = clockOffsetMs;
    }

    /** Counts a suspension, which the monotonic clock does not. */
    void suspend(long durationMs) {
      suspendedMs += durationMs;
    }

    DualTimestamp clocks(long nowMs) {
      return new DualTimestamp(nowMs + clockOffsetMs - suspendedMs, WALL_OFFSET_MS + nowMs);
    }
  }

  private record Action(int entry, long token, long atMs) {}

  /**
   * Guards against two holders with the same token, a decreasing token, and holders that act
   * alternately within {@link #MIN_ALTERNATION_MS}, while writes take effect late or without a
   * response and entries are paused or suspended.
   */
  @Property(tries = 300, seed = "11")
  void oneHolderActsAtATime(@ForAll long seed) {
    simulate(seed, false);
  }

  /** Guards against the same faults while the store is also restored from older copies. */
  @Property(tries = 300, seed = "12")
  void oneHolderActsAtATimeAlsoIfTheStoreIsRestored(@ForAll long seed) {
    simulate(seed, true);
  }

  /** The register of the lease, as the store keeps it. */
  private record Register(Optional<DutyRecord> value, StorePosition end) {
    boolean accepts(DutyLease.Write write) {
      // The store compares offsets only; it does not know in which era a write was prepared.
      return write.expected().endOffset() == end.endOffset();
    }

    Register with(DutyLease.Write write) {
      return new Register(
          Optional.of(write.value()), new StorePosition(end.era(), end.endOffset() + 1));
    }

    Register restoredFrom(Register copy) {
      return new Register(copy.value, new StorePosition(end.era() + 1, copy.end.endOffset()));
    }
  }

  private static void simulate(long seed, boolean restores) {
    SplittableRandom random = new SplittableRandom(seed);
    List<Entry> entries = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      entries.add(new Entry("vm" + i, random.nextLong(1_000_000)));
    }
    long[] pausedUntilMs = new long[3];
    List<DutyLease.Write> delayedWrites = new ArrayList<>();
    List<Action> actions = new ArrayList<>();
    Register register = new Register(Optional.empty(), end(0));
    Register copy = register;
    for (long now = 0; now < 60_000; now += 50) {
      if (restores && random.nextInt(60) == 0) {
        copy = register;
      }
      if (restores && random.nextInt(120) == 0) {
        register = register.restoredFrom(copy);
      }
      if (!delayedWrites.isEmpty() && random.nextInt(20) == 0) {
        DutyLease.Write write = delayedWrites.remove(0);
        if (register.accepts(write)) {
          register = register.with(write);
        }
      }
      int chosen = random.nextInt(3);
      Entry entry = entries.get(chosen);
      if (pausedUntilMs[chosen] > now) {
        continue;
      }
      if (random.nextInt(40) == 0) {
        long pauseMs = random.nextLong(6_000);
        pausedUntilMs[chosen] = now + pauseMs;
        if (random.nextBoolean()) {
          entry.suspend(pauseMs);
        }
        continue;
      }
      DualTimestamp local = entry.clocks(now);
      if (entry.lease.isHeld(local)) {
        actions.add(new Action(chosen, entry.lease.token(), now));
      } else {
        entry.lease.onRead(register.value(), register.end(), local);
      }
      Optional<DutyLease.Write> write = nextWrite(entry.lease, local);
      if (write.isPresent()) {
        int outcome = random.nextInt(10);
        if (outcome == 0) {
          delayedWrites.add(write.orElseThrow());
        } else if (register.accepts(write.orElseThrow())) {
          register = register.with(write.orElseThrow());
          if (outcome != 1) {
            entry.lease.onWriteAccepted(write.orElseThrow(), register.end());
          }
        } else {
          entry.lease.onRead(register.value(), register.end(), local);
        }
      }
    }
    checkActions(actions);
    assertThat(actions).isNotEmpty();
  }

  private static Optional<DutyLease.Write> nextWrite(DutyLease lease, DualTimestamp local) {
    if (!lease.isHeld(local)) {
      return lease.prepareClaim(local, NO_WINDOW);
    }
    DutyRecord last = lease.latest().orElseThrow();
    DutyRecord next =
        new DutyRecord(
            last.getHolder(),
            last.getBoot(),
            last.getToken(),
            last.getTick() + 1,
            last.getSealed(),
            last.getReportedWindow(),
            last.getEra().orElse(null));
    return lease.prepareRenewal(next, local);
  }

  private static void checkActions(List<Action> actions) {
    for (int i = 1; i < actions.size(); i++) {
      Action previous = actions.get(i - 1);
      Action action = actions.get(i);
      assertThat(action.token()).isGreaterThanOrEqualTo(previous.token());
      if (action.token() == previous.token()) {
        assertThat(action.entry()).isEqualTo(previous.entry());
      }
      for (int j = i - 1; j >= 0 && action.entry() != previous.entry(); j--) {
        if (actions.get(j).entry() == action.entry()) {
          assertThat(action.atMs() - actions.get(j).atMs())
              .isGreaterThanOrEqualTo(MIN_ALTERNATION_MS);
          break;
        }
      }
    }
  }
}
