package io.samphiregauge.core.admit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class LimitShareTest {
  private static final double LIMIT = 1_000;
  private static final double ROUNDING = 1e-6;
  private static final int ROUNDS = 60;

  /** Guards against shares whose sum exceeds the limit under message loss and partitions. */
  @Property(seed = "17", tries = 200)
  void sharesNeverExceedTheLimit(
      @ForAll long seed,
      @ForAll @IntRange(min = 1, max = 24) int entries,
      @ForAll boolean partitioned) {
    SplittableRandom random = new SplittableRandom(seed);
    List<LimitShare> shares = shares(entries);
    for (int round = 0; round < ROUNDS; round++) {
      for (LimitShare share : shares) {
        share.setDemand(random.nextInt(4) == 0 ? random.nextInt(1_000) : 0);
      }
      boolean cut = partitioned && round >= ROUNDS / 3;
      exchange(shares, cut, random);
      assertThat(total(shares)).isLessThanOrEqualTo(LIMIT + ROUNDING);
    }
  }

  /** A share that lags demand by more than ten exchanges would leave part of the limit unused. */
  @Property(seed = "17", tries = 20)
  void shareFollowsDemand(@ForAll @IntRange(min = 2, max = 8) int entries) {
    List<LimitShare> shares = shares(entries);
    shares.get(0).setDemand(500);
    SplittableRandom random = new SplittableRandom(entries);
    for (int round = 0; round < 10; round++) {
      exchange(shares, false, random);
    }
    assertThat(shares.get(0).share()).isGreaterThan(0.5 * LIMIT);
  }

  private static List<LimitShare> shares(int entries) {
    List<LimitShare> shares = new ArrayList<>();
    for (int i = 0; i < entries; i++) {
      shares.add(new LimitShare("entry-" + i, 1, LIMIT, entries));
    }
    return shares;
  }

  /**
   * Each entry rebalances and announces, from a random start; a partition separates odd and even
   * entries.
   */
  private static void exchange(
      List<LimitShare> shares, boolean partitioned, SplittableRandom random) {
    int first = random.nextInt(shares.size());
    for (int k = 0; k < shares.size(); k++) {
      int from = (first + k) % shares.size();
      LimitShare sender = shares.get(from);
      LimitShare.Announcement announcement = sender.rebalance();
      for (int to = 0; to < shares.size(); to++) {
        boolean dropped = (partitioned && (from + to) % 2 == 1) || random.nextInt(10) == 0;
        if (to != from && !dropped) {
          shares.get(to).receive("entry-" + from, announcement);
        }
      }
    }
  }

  private static double total(List<LimitShare> shares) {
    return shares.stream().mapToDouble(LimitShare::share).sum();
  }
}
