package io.samphiregauge.core.suspect;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.LongRange;

/** Entries of all sizes of deployment without a store; the seeds are arguments. */
class CrashSimulationTest {
  /** Deadly requests that the platform tolerates later than 3 s after the fifth crash. */
  private static final int MAX_LATE_SENDS = 3;

  private static final long FAULT_START_MS = 20_000;
  private static final long END_MS = 90_000;

  @Provide
  Arbitrary<Integer> entryCounts() {
    return Arbitraries.of(7, 84, 95);
  }

  @Provide
  Arbitrary<Double> deadlyRates() {
    return Arbitraries.of(0.3, 2.0, 8.0);
  }

  private static CrashSimulation simulation(int entries, long seed) {
    return simulation(entries, 0.03, seed);
  }

  private static CrashSimulation simulation(int entries, double loss, long seed) {
    CrashSimulation simulation =
        new CrashSimulation(
            new CrashSimulation.Settings(entries, entries < 10 ? 20 : 120, 300, loss), seed);
    double soundRate = entries < 10 ? 30 : 150;
    simulation.addRequests(
        0, END_MS, soundRate, false, n -> List.of("common" + n % 20, "part" + n % 97));
    return simulation;
  }

  private static void assertRulesHold(CrashSimulation simulation, String soundPart) {
    assertThat(simulation.countLateDeadlySends()).isLessThanOrEqualTo(MAX_LATE_SENDS);
    simulation
        .fifthCrashMs()
        .ifPresent(
            fifthMs -> {
              long fromMs = fifthMs + 2 * CrashSimulation.STABLE_MS;
              double others = simulation.servedShare(fromMs, Optional.empty());
              assertThat(simulation.servedShare(fromMs, Optional.of(soundPart)))
                  .isGreaterThanOrEqualTo(0.5 * others);
              assertThat(others).isGreaterThan(0.9);
            });
  }

  /**
   * Guards against deadly requests that reach servers, and sound ones that are refused, when they
   * share a rare first part.
   */
  @Property(seed = "41", tries = 30)
  void deadlyPartIsBlockedAndItsNeighboursAreServed(
      @ForAll("entryCounts") int entries,
      @ForAll("deadlyRates") double rate,
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    CrashSimulation simulation = simulation(entries, seed);
    simulation.addRequests(0, END_MS, 0.4, false, n -> List.of("first", "part" + n % 97));
    simulation.addRequests(
        FAULT_START_MS, END_MS, rate, true, n -> List.of("first", "deadly", "part" + n % 97));
    simulation.runUntil(END_MS);
    assertRulesHold(simulation, "first");
    assertThat(simulation.blockedTraits()).contains("deadly");
  }

  /** Guards against the sound parts that follow a deadly first part. */
  @Property(seed = "42", tries = 20)
  void deadlyFirstPartIsBlocked(
      @ForAll("entryCounts") int entries,
      @ForAll("deadlyRates") double rate,
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    CrashSimulation simulation = simulation(entries, seed);
    simulation.addRequests(0, END_MS, 0.4, false, n -> List.of("first", "second"));
    simulation.addRequests(FAULT_START_MS, END_MS, rate, true, n -> List.of("deadly", "second"));
    simulation.runUntil(END_MS);
    assertRulesHold(simulation, "first");
  }

  /** Guards against a started entry that sends the deadly requests which all others refuse. */
  @Property(seed = "43", tries = 15)
  void restartedEntriesLearnTheBlocks(
      @ForAll("entryCounts") int entries, @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    CrashSimulation simulation = simulation(entries, seed);
    simulation.addRequests(0, END_MS, 0.4, false, n -> List.of("first", "part" + n % 97));
    simulation.addRequests(FAULT_START_MS, END_MS, 2.0, true, n -> List.of("first", "deadly"));
    for (int entry = 0; entry < 5; entry++) {
      simulation.addRestart(FAULT_START_MS + 2_000 + entry * 9_000L, entry);
    }
    simulation.runUntil(END_MS);
    assertRulesHold(simulation, "first");
  }

  /** Guards against two faults whose crashes hide each other. */
  @Property(seed = "44", tries = 15)
  void twoDeadlyPartsAreBlocked(
      @ForAll("entryCounts") int entries, @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    CrashSimulation simulation = simulation(entries, seed);
    simulation.addRequests(0, END_MS, 0.4, false, n -> List.of("first", "part" + n % 97));
    simulation.addRequests(
        FAULT_START_MS, END_MS, 4.0, true, n -> List.of("first", "deadly" + n % 2));
    simulation.runUntil(END_MS);
    assertThat(simulation.blockedTraits()).contains("deadly0", "deadly1");
    // The limit holds for each of the two parts.
    assertThat(simulation.countLateDeadlySends()).isLessThanOrEqualTo(2 * MAX_LATE_SENDS);
    assertThat(simulation.isBlockedAnywhere("first")).isFalse();
  }

  /** Guards against a part that is believed to be sound because of its past. */
  @Property(seed = "45", tries = 15)
  void aPartThatTurnsDeadlyIsBlocked(
      @ForAll("entryCounts") int entries, @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    CrashSimulation simulation = simulation(entries, seed);
    simulation.addRequests(0, END_MS, 0.4, false, n -> List.of("first", "part" + n % 97));
    simulation.addRequests(0, FAULT_START_MS, 1.0, false, n -> List.of("first", "turning"));
    simulation.addRequests(FAULT_START_MS, END_MS, 2.0, true, n -> List.of("first", "turning"));
    simulation.runUntil(END_MS);
    assertRulesHold(simulation, "first");
    assertThat(simulation.blockedTraits()).contains("turning");
  }

  /** Guards against blocking parts when a failure domain or all servers are lost. */
  @Property(seed = "46", tries = 15)
  void lossOfManyServersBlocksNothing(
      @ForAll("entryCounts") int entries,
      @ForAll boolean all,
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    CrashSimulation simulation = simulation(entries, 0, seed);
    addServerLosses(simulation, entries, all);
    simulation.runUntil(END_MS);
    KnownFaults.check(
        "CrashSimulationTest.lossOfManyServersBlocksNothing",
        () -> assertThat(simulation.blockedTraits()).isEmpty());
  }

  /** Guards against an entry that blocks a sound part for long, as it missed the completions. */
  @Property(seed = "49", tries = 10)
  void blocksByLostMessagesAreClearedAtOnce(
      @ForAll("entryCounts") int entries, @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    CrashSimulation simulation = simulation(entries, seed);
    addServerLosses(simulation, entries, true);
    for (long timeMs = 38_000; timeMs < 50_000; timeMs += 500) {
      simulation.runUntil(timeMs);
      for (int part = 0; part < 20; part++) {
        assertThat(simulation.isBlockedAnywhere("common" + part)).isFalse();
      }
    }
  }

  private static void addServerLosses(CrashSimulation simulation, int entries, boolean all) {
    int servers = entries < 10 ? 20 : 120;
    simulation.addRequests(0, END_MS, 0.4, false, n -> List.of("first", "part" + n % 97));
    simulation.addServerCrashes(30_000, 0, all ? servers : servers / 3, 100);
    simulation.addServerCrashes(50_000, 0, all ? servers : servers / 3, 100);
  }

  /** Guards against blocking parts because servers crash one after another by themselves. */
  @Property(seed = "47", tries = 15)
  void unrelatedCrashesBlockNothing(
      @ForAll("entryCounts") int entries, @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    CrashSimulation simulation = simulation(entries, seed);
    simulation.addRequests(0, END_MS, 0.4, false, n -> List.of("first", "part" + n % 97));
    for (int server = 0; server < 15; server++) {
      simulation.addServerCrashes(20_000 + server * 700L, server, 1, 0);
    }
    simulation.runUntil(END_MS);
    assertThat(simulation.blockedTraits()).isEmpty();
  }

  /** Guards against a flood of reports of completions after each crash. */
  @Property(seed = "48", tries = 5)
  void reportsDoNotGrowWithTheSquareOfTheEntries(
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    CrashSimulation simulation =
        new CrashSimulation(new CrashSimulation.Settings(95, 120, 10, 0), seed);
    simulation.addRequests(0, 40_000, 300, false, n -> List.of("common" + n % 3, "part" + n % 97));
    simulation.addServerCrashes(30_000, 0, 1, 0);
    simulation.runUntil(40_000);
    assertThat(simulation.sentMessages()).isLessThan(95 * 95 / 2);
  }
}
