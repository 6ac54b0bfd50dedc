package io.samphiregauge.core.duty;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiregauge.schema.gateway.DutyRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class DutyRegisterTest {
  private static final long LEASE_MS = 3_500;
  private static final long MARGIN_MS = 700;

  /** Time within which the platform lets no two holders act by turns. */
  private static final long TURNS_MS = 3_000;

  private static DutyRegister register(String vm) {
    return new DutyRegister(vm, 1, LEASE_MS, MARGIN_MS);
  }

  /** Guards against an entry that acts although it has lost its lease. */
  @Test
  void holdsOnlyUntilTheMarginBeforeTheLeaseEnds() {
    DutyRegister register = register("a");
    register.read(Optional.empty(), 0, 100);
    DutyRegister.Write claim = register.claim(100).orElseThrow();
    assertThat(register.holds(100)).isFalse();
    register.written(claim, 1);
    assertThat(register.holds(100 + LEASE_MS - MARGIN_MS - 1)).isTrue();
    assertThat(register.holds(100 + LEASE_MS - MARGIN_MS)).isFalse();
  }

  /** Guards against a rival that counts the lease from the holder's clock instead of its own. */
  @Test
  void rivalWaitsForTheWholeLeaseFromWhatItSaw() {
    DutyRegister rival = register("b");
    rival.read(Optional.of(new DutyRecord("a", 1, 4, 9, List.of(), 0)), 7, 1_000);
    assertThat(rival.claim(1_000 + LEASE_MS - 1)).isEmpty();
    DutyRegister.Write claim = rival.claim(1_000 + LEASE_MS).orElseThrow();
    assertThat(claim.atOffset()).isEqualTo(7);
    assertThat(claim.value().getToken()).isEqualTo(5);
    rival.read(Optional.of(new DutyRecord("a", 1, 4, 10, List.of(), 0)), 8, 2_000);
    assertThat(rival.claim(1_000 + LEASE_MS)).isEmpty();
  }

  /** Guards against a restart that leaves the duty undone for a whole lease. */
  @Test
  void restartedProcessTakesTheLeaseOfItsOwnVmAtOnce() {
    DutyRegister register = new DutyRegister("a", 2, LEASE_MS, MARGIN_MS);
    register.read(Optional.of(new DutyRecord("a", 1, 4, 9, List.of(), 0)), 7, 1_000);
    assertThat(register.holds(1_000)).isFalse();
    assertThat(register.claim(1_000).orElseThrow().value().getToken()).isEqualTo(5);
  }

  /** Guards against an older page of the register that hides a newer write. */
  @Test
  void ignoresAnOlderRead() {
    DutyRegister register = register("a");
    register.read(Optional.of(new DutyRecord("b", 1, 4, 9, List.of(), 0)), 7, 1_000);
    register.read(Optional.of(new DutyRecord("c", 1, 3, 8, List.of(), 0)), 6, 1_100);
    assertThat(register.token()).isEqualTo(4);
  }

  /** A simulated entry, whose clock has an offset and whose reads and writes may be lost. */
  private static final class Entry {
    final DutyRegister register;
    final long clockMs;

    Entry(String vm, long clockMs) {
      register = register(vm);
      this.clockMs = clockMs;
    }
  }

  private record Act(int entry, long token, long atMs) {}

  /**
   * Guards against two holders with one token, a token that falls, and holders that act by turns
   * within the time that the lease rules out, while writes take effect late or unseen and entries
   * stand still.
   */
  @Property(tries = 300, seed = "11")
  void oneHolderActsAtATime(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    List<Entry> entries = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      entries.add(new Entry("vm" + i, random.nextLong(1_000_000)));
    }
    long[] pausedUntilMs = new long[3];
    List<DutyRegister.Write> late = new ArrayList<>();
    List<Act> acts = new ArrayList<>();
    Optional<DutyRecord> stored = Optional.empty();
    long end = 0;
    for (long now = 0; now < 60_000; now += 50) {
      if (!late.isEmpty() && random.nextInt(20) == 0) {
        DutyRegister.Write write = late.remove(0);
        if (write.atOffset() == end) {
          stored = Optional.of(write.value());
          end++;
        }
      }
      int chosen = random.nextInt(3);
      Entry entry = entries.get(chosen);
      if (pausedUntilMs[chosen] > now) {
        continue;
      }
      if (random.nextInt(40) == 0) {
        pausedUntilMs[chosen] = now + random.nextLong(6_000);
        continue;
      }
      long local = now + entry.clockMs;
      if (entry.register.holds(local)) {
        acts.add(new Act(chosen, entry.register.token(), now));
      } else {
        entry.register.read(stored, end, local);
      }
      Optional<DutyRegister.Write> write = nextWrite(entry.register, local);
      if (write.isPresent()) {
        int fate = random.nextInt(10);
        if (fate == 0) {
          late.add(write.orElseThrow());
        } else if (write.orElseThrow().atOffset() == end) {
          stored = Optional.of(write.orElseThrow().value());
          end++;
          if (fate != 1) {
            entry.register.written(write.orElseThrow(), end);
          }
        } else {
          entry.register.read(stored, end, local);
        }
      }
    }
    checkActs(acts);
    assertThat(acts).isNotEmpty();
  }

  private static Optional<DutyRegister.Write> nextWrite(DutyRegister register, long local) {
    if (!register.holds(local)) {
      return register.claim(local);
    }
    DutyRecord last = register.value().orElseThrow();
    DutyRecord next =
        new DutyRecord(
            last.getHolder(),
            last.getBoot(),
            last.getToken(),
            last.getTick() + 1,
            last.getSealed(),
            last.getReportedWindow());
    return register.renew(next, local);
  }

  private static void checkActs(List<Act> acts) {
    for (int i = 1; i < acts.size(); i++) {
      Act last = acts.get(i - 1);
      Act act = acts.get(i);
      assertThat(act.token()).isGreaterThanOrEqualTo(last.token());
      if (act.token() == last.token()) {
        assertThat(act.entry()).isEqualTo(last.entry());
      }
      for (int j = i - 1; j >= 0 && act.entry() != last.entry(); j--) {
        if (acts.get(j).entry() == act.entry()) {
          assertThat(act.atMs() - acts.get(j).atMs()).isGreaterThanOrEqualTo(TURNS_MS);
          break;
        }
      }
    }
  }
}
