package io.samphiregauge.core.quota;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiregauge.core.quota.QuotaNetwork.Entry;
import io.samphiregauge.core.site.QuotaUnit;
import io.samphiregauge.core.site.TeamQuota;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class QuotaBoundTest {
  private static final long WINDOW_MS = 8_000;
  private static final QuotaTolerance TOLERANCE = new QuotaTolerance(WINDOW_MS, 0.1, 190_000);
  private static final long SMALL = 383;
  private static final long LARGE = 17_035;
  private static final long TRAFFIC_MS = 19_000;

  private static TeamQuota quota(double ratePerS) {
    return new TeamQuota(QuotaUnit.TOKENS, ratePerS, ratePerS, 200);
  }

  /**
   * Guards against more than the quota in some window, under losses, copies, delays, freezes,
   * restarts, joins, leaves, cuts, outages of the store and changes of the limit.
   */
  @Property(tries = 120)
  void neverExceedsTheQuotaUnderFaults(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    double rate = List.of(47_000.0, 80_000.0, 391_000.0).get(random.nextInt(3));
    // Two lenders at once for 0.2 s would break the tight one.
    QuotaTolerance tolerance =
        random.nextBoolean() ? TOLERANCE : new QuotaTolerance(WINDOW_MS, 0.02, 0);
    QuotaNetwork network = new QuotaNetwork(seed, tolerance, quota(rate));
    network.lossRatio = random.nextInt(3) * 0.05;
    network.copyRatio = random.nextInt(2) * 0.1;
    network.maxDelayMs = List.of(3L, 30L, 300L).get(random.nextInt(3));
    int entries = 3 + random.nextInt(4);
    for (int i = 0; i < entries; i++) {
      network.addEntry("vm-" + i);
    }
    for (int i = 0; i < 14; i++) {
      long atMs = TRAFFIC_MS + random.nextLong(35_000);
      network.at(atMs, () -> injectFault(network, random, rate));
    }
    network.runUntil(60_000, () -> offer(network, network.entries, demand(network, rate)));
    assertWithinRule(network, tolerance);
  }

  /** Returns a demand that pauses now and then, so that a window can begin with a full burst. */
  private static double demand(QuotaNetwork network, double rate) {
    return network.nowMs % 9_600 < 1_600 ? 0 : 6 * rate;
  }

  private static void injectFault(QuotaNetwork network, SplittableRandom random, double rate) {
    Entry any = network.entries.get(random.nextInt(network.entries.size()));
    Entry entry = random.nextBoolean() ? any : network.lender().orElse(any);
    long durationMs = 300 + random.nextLong(7_000);
    switch (random.nextInt(10)) {
      case 0 -> entry.freeze(durationMs, false);
      case 1 -> entry.freeze(durationMs, true);
      case 2 -> entry.kill(durationMs);
      case 3 -> entry.leave(durationMs);
      case 4 -> entry.storeCutUntilMs = network.nowMs + durationMs;
      case 5 -> entry.peersCutUntilMs = network.nowMs + durationMs;
      case 6 -> {
        entry.storeCutUntilMs = network.nowMs + durationMs;
        entry.peersCutUntilMs = network.nowMs + durationMs;
      }
      case 7 -> network.storeDownUntilMs = network.nowMs + durationMs;
      case 8 -> network.addEntry("new-" + network.entries.size());
      default -> network.limits.put(network.nowMs, quota(rate * (0.1 + random.nextDouble())));
    }
  }

  /** Sends requests of a total size per second through some entries. */
  private static void offer(QuotaNetwork network, List<Entry> through, double tokensPerS) {
    if (network.nowMs < TRAFFIC_MS) {
      return;
    }
    double perTick = tokensPerS * QuotaNetwork.TICK_MS / 1_000;
    double mean = SMALL * 0.9 + LARGE * 0.1;
    double due = perTick / mean;
    int count = (int) due + (network.random.nextDouble() < due - (int) due ? 1 : 0);
    for (int i = 0; i < count; i++) {
      long cost = network.random.nextInt(10) == 0 ? LARGE : SMALL;
      through.get(network.random.nextInt(through.size())).request(cost);
    }
  }

  private static void assertWithinRule(QuotaNetwork network, QuotaTolerance tolerance) {
    for (Map.Entry<Long, Long> first : network.admittedAtMs.entrySet()) {
      long fromMs = first.getKey();
      long toMs = fromMs + WINDOW_MS;
      // A lower limit binds a window after it was read.
      double rate =
          network
              .limits
              .subMap(network.limits.floorKey(fromMs - 2 * WINDOW_MS), toMs)
              .values()
              .stream()
              .mapToDouble(TeamQuota::ratePerS)
              .max()
              .orElseThrow();
      double allowed =
          (rate * WINDOW_MS / 1_000 + rate) * (1 + tolerance.overage()) + tolerance.slack();
      assertThat((double) network.admittedIn(fromMs, toMs))
          .as("admitted from %d ms", fromMs)
          .isLessThanOrEqualTo(allowed);
    }
  }

  private static QuotaNetwork healthyNetwork(double rate) {
    QuotaNetwork network = new QuotaNetwork(7, TOLERANCE, quota(rate));
    for (int i = 0; i < 65; i++) {
      network.addEntry("vm-" + i);
    }
    return network;
  }

  /** Guards against refusals within the quota because shares lie at entries that nobody asks. */
  @Test
  void demandThroughThreeOfManyEntriesPasses() {
    QuotaNetwork network = healthyNetwork(391_000);
    network.runUntil(60_000, () -> offer(network, network.entries.subList(0, 3), 0.95 * 391_000));
    assertThat(network.refused).isLessThanOrEqualTo((network.passed + network.refused) / 50);
  }

  /** Guards against a quota that is left unused, or exceeded, when all entries ask for more. */
  @Test
  void demandOfSixTimesTheRateUsesTheQuota() {
    QuotaNetwork network = healthyNetwork(391_000);
    network.runUntil(60_000, () -> offer(network, network.entries, 6 * 391_000));
    assertWithinRule(network, TOLERANCE);
    double usedPerS = network.admittedIn(TRAFFIC_MS + 2_000, 60_000) / 39.0;
    assertThat(usedPerS).isGreaterThanOrEqualTo(0.95 * 391_000);
  }

  /** Guards against another burst from a restarted lender, and against a wait before it lends. */
  @Test
  void restartOfAllEntriesHandsOutNoBurst() {
    QuotaTolerance tolerance = new QuotaTolerance(WINDOW_MS, 0.02, 0);
    QuotaNetwork network = new QuotaNetwork(7, tolerance, quota(80_000));
    for (int i = 0; i < 8; i++) {
      network.addEntry("vm-" + i);
    }
    network.at(27_000, () -> network.entries.forEach(entry -> entry.kill(100)));
    Runnable demand =
        () -> offer(network, network.entries, network.nowMs < 25_000 ? 0 : 6 * 80_000);
    network.runUntil(45_000, demand);
    assertWithinRule(network, tolerance);
    assertThat(network.admittedIn(28_500, 29_500)).isPositive();
  }

  /** Guards against messages for teams that nobody asks for. */
  @Test
  void idleTeamCausesNoMessages() {
    QuotaNetwork network = healthyNetwork(80_000);
    network.runUntil(30_000, () -> {});
    assertThat(network.messages).isZero();
  }
}
