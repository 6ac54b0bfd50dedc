package io.samphiregauge.core.fair;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;

class FairQueueTest {
  private static final double MAX_COST = 400;
  private static final double ROUNDING = 1e-6;

  /**
   * Guards against a team that receives more than its weighted share while another is backlogged.
   */
  @Property(seed = "17", tries = 200)
  void driftOfTwoBackloggedTeamsIsBounded(
      @ForAll long seed,
      @ForAll @DoubleRange(min = 0.1, max = 10) double weightA,
      @ForAll @DoubleRange(min = 0.1, max = 10) double weightB,
      @ForAll @IntRange(min = 0, max = 6) int otherTeams) {
    SplittableRandom random = new SplittableRandom(seed);
    FairQueue<Integer> queue = new FairQueue<>();
    Map<String, Double> served = new HashMap<>(Map.of("a", 0.0, "b", 0.0));
    for (int i = 0; i < 300; i++) {
      offer(queue, "a", weightA, random);
      offer(queue, "b", weightB, random);
      if (otherTeams > 0 && random.nextBoolean()) {
        queue.offer("other-" + random.nextInt(otherTeams), 1, cost(random), i);
      }
      queue.poll().ifPresent(next -> served.merge(next.team(), next.cost(), Double::sum));
      double drift = Math.abs(served.get("a") / weightA - served.get("b") / weightB);
      assertThat(drift).isLessThanOrEqualTo(MAX_COST / weightA + MAX_COST / weightB + ROUNDING);
    }
  }

  /**
   * Guards against a team that receives credit for an idle period, or less than its share after it.
   */
  @Property(seed = "17", tries = 50)
  void idleTeamRegainsItsShareWithoutCredit(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    FairQueue<Integer> queue = new FairQueue<>();
    for (int i = 0; i < 100; i++) {
      queue.offer("a", 1, cost(random), i);
      assertThat(queue.poll()).isPresent();
    }
    double servedA = 0;
    double servedB = 0;
    for (int i = 0; i < 100; i++) {
      offer(queue, "a", 1, random);
      offer(queue, "b", 1, random);
      FairQueue.Item<Integer> next = queue.poll().orElseThrow();
      servedA += next.team().equals("a") ? next.cost() : 0;
      servedB += next.team().equals("b") ? next.cost() : 0;
      assertThat(Math.abs(servedA - servedB)).isLessThanOrEqualTo(2 * MAX_COST + ROUNDING);
    }
  }

  private static void offer(
      FairQueue<Integer> queue, String team, double weight, SplittableRandom random) {
    queue.offer(team, weight, cost(random), 0);
  }

  private static double cost(SplittableRandom random) {
    return 1 + random.nextDouble() * (MAX_COST - 1);
  }
}
