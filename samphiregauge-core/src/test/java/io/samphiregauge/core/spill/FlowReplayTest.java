package io.samphiregauge.core.spill;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.offset;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Demand that is uneven between failure domains, replayed through the flows of 63 entries. */
class FlowReplayTest {
  /** Objective of the short requests of the customers: above it, they are late. */
  private static final double SHORT_OBJECTIVE_MS = 260;

  private static final double LONG_OBJECTIVE_MS = 1_200;

  /** Time for which a long request's caller waits. */
  private static final double LONG_DEADLINE_MS = 5_000;

  private static final int ENTRIES = 21;

  /** Age of loads that pass through the heads of two failure domains. */
  private static final int AGE_MS = 750;

  /**
   * Guards against domains that are flooded: with the constant cost of 6 ms all entries send
   * everything to the domain that was idle 750 ms ago.
   */
  @Test
  void domainWithTooFewServersIsRelievedWithoutFloodingOthers() {
    FlowReplay replay = new FlowReplay(ENTRIES, AGE_MS);
    replay.demand.put("a", 1.8);
    replay.run(14_000);
    assertThat(replay.longestWaitMs.get("a")).isLessThan(LONG_DEADLINE_MS);
    assertThat(replay.longestWaitMs.get("b")).isLessThan(SHORT_OBJECTIVE_MS);
    assertThat(replay.longestWaitMs.get("c")).isLessThan(SHORT_OBJECTIVE_MS);
    assertThat(replay.waitMs("a")).isLessThan(LONG_OBJECTIVE_MS);
  }

  /** Documents the fault that the flows replace. */
  @Test
  void constantCostFloodsTheIdleDomains() {
    FlowReplay replay = new FlowReplay(ENTRIES, AGE_MS);
    replay.demand.put("a", 1.8);
    replay.run(14_000, replay::constantCost);
    assertThat(replay.longestWaitMs.get("b")).isGreaterThan(SHORT_OBJECTIVE_MS);
  }

  /** Guards against a flow that stays after the demand that caused it has ended. */
  @Test
  void flowReturnsWhenItsCauseEnds() {
    FlowReplay replay = new FlowReplay(ENTRIES, AGE_MS);
    replay.demand.put("a", 1.8);
    replay.run(14_000);
    assertThat(replay.share("a", "b")).isPositive();
    replay.demand.put("a", 0.5);
    replay.run(15_000);
    assertThat(replay.share("a", "b")).isZero();
    assertThat(replay.share("a", "c")).isZero();
  }

  /**
   * Guards against callers of a domain whose servers are reclaimed at once and who wait for them,
   * and against a rush when the servers return.
   */
  @Test
  void reclaimedDomainLeavesAtOnceAndReturnsBySteps() {
    FlowReplay replay = new FlowReplay(ENTRIES, AGE_MS);
    replay.run(3_000);
    replay.servers.put("a", 0);
    replay.run(AGE_MS + 500);
    assertThat(replay.share("a", "b") + replay.share("a", "c")).isCloseTo(1, offset(0.01));
    replay.run(6_000);
    replay.servers.put("a", 16);
    replay.run(AGE_MS + 500);
    assertThat(replay.share("a", "b")).isGreaterThan(0);
    replay.run(15_000);
    assertThat(replay.share("a", "b")).isZero();
    assertThat(replay.longestWaitMs.get("b")).isLessThan(SHORT_OBJECTIVE_MS);
    assertThat(replay.longestWaitMs.get("c")).isLessThan(SHORT_OBJECTIVE_MS);
  }

  /** Guards against flows that follow bursts which change sides faster than flows can. */
  @ParameterizedTest
  @ValueSource(ints = {150, 750})
  void flowsDoNotFollowAlternatingBursts(int ageMs) {
    FlowReplay replay = new FlowReplay(ENTRIES, ageMs);
    for (int burst = 0; burst < 10; burst++) {
      replay.demand.put("a", burst % 2 == 0 ? 1.7 : 0.5);
      replay.demand.put("b", burst % 2 == 0 ? 0.5 : 1.7);
      replay.run(2_800);
    }
    // A flow that follows the bursts turns twice in each of the five pairs of them.
    assertThat(replay.changesOfFirstEntry).isNotEmpty();
    assertThat(replay.turnsPerFlow()).isLessThan(5);
    assertThat(replay.longestWaitMs.get("a")).isLessThan(LONG_DEADLINE_MS);
    assertThat(replay.longestWaitMs.get("c")).isLessThan(SHORT_OBJECTIVE_MS);
  }

  /** Guards against the steps of many entries adding up: 63 send the same part as 3. */
  @Test
  void manyEntriesSendTheSamePartAsFew() {
    FlowReplay few = new FlowReplay(1, AGE_MS);
    FlowReplay many = new FlowReplay(ENTRIES, AGE_MS);
    few.demand.put("a", 1.8);
    many.demand.put("a", 1.8);
    for (int i = 0; i < 14; i++) {
      few.run(1_000);
      many.run(1_000);
      assertThat(many.share("a", "b")).isCloseTo(few.share("a", "b"), offset(DomainFlows.MAX_STEP));
    }
  }

  /** Guards against two domains in need that each take the whole spare capacity of the third. */
  @Test
  void spareCapacityIsDividedAmongAllThatNeedIt() {
    FlowReplay replay = new FlowReplay(ENTRIES, AGE_MS);
    replay.demand.put("a", 1.3);
    replay.demand.put("b", 1.3);
    replay.demand.put("c", 0.4);
    replay.run(14_000);
    assertThat(replay.longestWaitMs.get("c")).isLessThan(SHORT_OBJECTIVE_MS);
    assertThat(replay.share("a", "c"))
        .isCloseTo(replay.share("b", "c"), offset(DomainFlows.MAX_STEP));
  }
}
