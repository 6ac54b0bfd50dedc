package io.samphiregauge.core.queue;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiregauge.core.queue.QueueReplay.Call;
import io.samphiregauge.core.queue.QueueReplay.Decisions;
import io.samphiregauge.core.queue.QueueReplay.Kind;
import io.samphiregauge.core.queue.QueueReplay.Shape;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Replays the loads of the customers with hard load through the decisions of the queues. */
class QueueReplayTest {
  private static final long BURST_END_MS = 14_000;
  private static final long END_MS = 24_000;
  private static final int ENTRIES = 3;
  private static final int MIN_TEAM_REQUESTS = 100;
  private static final Map<Long, Integer> ALL_PLACES = Map.of();

  /** A load that is at a level until the end of the burst, with kinds that alternate, then 0.6. */
  private static Shape alternating(double load) {
    return (kind, nowMs) -> {
      boolean shortBurst = nowMs / 2_800 % 2 == 0;
      double factor = shortBurst == kind.equals(QueueReplay.SHORT) ? 1.9 : 0.55;
      return nowMs < BURST_END_MS ? load * factor / 1.225 : 0.6;
    };
  }

  /** A burst of long requests of 2.5 times the usual rate within a nearly full load. */
  private static final Shape LONG_BURST =
      (kind, nowMs) ->
          kind.equals(QueueReplay.LONG) && nowMs >= 3_600 && nowMs < 10_300 ? 2.5 : 0.8;

  private static QueueReplay replay(Decisions decisions, Shape shape, double abusiveShare) {
    QueueReplay replay = new QueueReplay(decisions, ENTRIES, abusiveShare, 7);
    replay.run(shape, END_MS, ALL_PLACES);
    return replay;
  }

  private static double ratioToBest(QueueReplay replay, long toMs) {
    return replay.earned(0, toMs) / replay.bestEarned(0, toMs, QueueReplay.PLACES);
  }

  private static double onTimeShare(List<Call> calls) {
    return (double) calls.stream().filter(call -> call.onTime).count() / calls.size();
  }

  private static double servedShare(List<Call> calls) {
    return (double) calls.stream().filter(call -> call.served).count() / calls.size();
  }

  /** Guards against an order that serves requests of little worth while others become late. */
  @ParameterizedTest
  @ValueSource(doubles = {1.3, 2})
  void worthIsAtLeastNineTenthsOfAScheduleThatKnowsAll(double load) {
    QueueReplay before = replay(Decisions.ADMISSION_POLICY, alternating(load), 0);
    assertThat(ratioToBest(before, BURST_END_MS)).isLessThan(0.9);
    QueueReplay queues = replay(Decisions.QUEUES, alternating(load), 0);
    assertThat(ratioToBest(queues, BURST_END_MS)).isGreaterThanOrEqualTo(0.9);
  }

  /** Guards against short requests that stand behind long ones in a burst of long ones. */
  @Test
  void shortRequestsAreOnTimeInABurstOfLongOnes() {
    QueueReplay replay = replay(Decisions.QUEUES, LONG_BURST, 0);
    List<Call> shortCalls =
        replay.in(3_600, 10_300).stream().filter(c -> c.kind.equals(QueueReplay.SHORT)).toList();
    assertThat(onTimeShare(shortCalls)).isGreaterThanOrEqualTo(0.95);
  }

  /** Guards against an overload that outlasts its cause. */
  @ParameterizedTest
  @ValueSource(doubles = {1, 1.3, 2, 3})
  void requestsAreOnTimeAgainFiveSecondsAfterTheBurst(double load) {
    QueueReplay replay = replay(Decisions.QUEUES, alternating(load), 0);
    List<Call> after = replay.in(BURST_END_MS + 5_000, END_MS);
    assertThat(after).allMatch(call -> call.onTime);
  }

  /**
   * Guards against a team that takes room from the others by sending more. Shares are compared
   * within a kind, because more urgent requests go first for all teams; of a team with few requests
   * chance decides how many come when there is room. An entry only balances what waits at it, so
   * one entry is replayed.
   */
  @ParameterizedTest
  @CsvSource({"1.3, 0", "1.3, 2", "2, 0", "2, 2"})
  void eachTeamGetsNineTenthsOfItsFairShare(double load, int rank) {
    QueueReplay replay = new QueueReplay(Decisions.QUEUES, 1, 0, 7);
    replay.run((kind, nowMs) -> nowMs < BURST_END_MS ? load : 0.6, END_MS, ALL_PLACES);
    Map<String, Integer> counts = new HashMap<>();
    Map<String, Double> asked = new HashMap<>();
    Map<String, Double> served = new HashMap<>();
    for (Call call : replay.in(0, BURST_END_MS)) {
      if (call.kind.rank() == rank) {
        counts.merge(call.team, 1, Integer::sum);
        asked.merge(call.team, call.workMs, Double::sum);
        served.merge(call.team, call.served ? call.workMs : 0, Double::sum);
      }
    }
    double roomMs = served.values().stream().mapToDouble(Double::doubleValue).sum();
    Map<String, Double> shares = maxMinShares(asked, roomMs);
    shares.keySet().removeIf(team -> counts.get(team) < MIN_TEAM_REQUESTS);
    assertThat(shares).hasSizeGreaterThanOrEqualTo(3);
    shares.forEach(
        (team, share) -> assertThat(served.get(team)).as(team).isGreaterThanOrEqualTo(0.9 * share));
  }

  private static Map<String, Double> maxMinShares(Map<String, Double> asked, double room) {
    Map<String, Double> shares = new HashMap<>();
    double left = room;
    List<String> teams = asked.keySet().stream().sorted(Comparator.comparing(asked::get)).toList();
    for (int i = 0; i < teams.size(); i++) {
      double share = Math.min(asked.get(teams.get(i)), left / (teams.size() - i));
      shares.put(teams.get(i), share);
      left -= share;
    }
    return shares;
  }

  /** Guards against large requests that starve because small ones fit more often. */
  @ParameterizedTest
  @ValueSource(doubles = {1.3, 2})
  void theLargestTenthIsServedNearlyAsOftenAsItsKind(double load) {
    QueueReplay replay = replay(Decisions.QUEUES, alternating(load), 0);
    for (Kind kind : List.of(QueueReplay.SHORT, QueueReplay.LONG)) {
      List<Call> calls =
          replay.in(0, BURST_END_MS).stream()
              .filter(call -> call.kind.equals(kind))
              .sorted(Comparator.comparingDouble(call -> -call.workMs))
              .toList();
      double largest = servedShare(calls.subList(0, calls.size() / 10));
      assertThat(largest).as(kind.name()).isGreaterThanOrEqualTo(0.8 * servedShare(calls));
    }
  }

  /** Guards against a kind that is hardly served while a more urgent one fills the service. */
  @Test
  void theLessUrgentKindIsServedAtLeastAQuarterAsOftenAsAll() {
    Shape shortOverload = (kind, nowMs) -> kind.equals(QueueReplay.SHORT) ? 5 : 1;
    List<Call> calls = replay(Decisions.QUEUES, shortOverload, 0).in(0, BURST_END_MS);
    List<Call> longCalls =
        calls.stream().filter(call -> call.kind.equals(QueueReplay.LONG)).toList();
    assertThat(servedShare(longCalls)).isGreaterThanOrEqualTo(0.25 * servedShare(calls));
  }

  /** Guards against callers that gain by repeating at once, or cost the others room. */
  @Test
  void repeatingAtOnceGainsNothingAndCostsTheOthersNothing() {
    QueueReplay honest = replay(Decisions.QUEUES, alternating(2), 0);
    QueueReplay abused = replay(Decisions.QUEUES, alternating(2), 0.3);
    List<Call> calls = abused.in(0, BURST_END_MS);
    double abusive = servedShare(calls.stream().filter(call -> call.abusive).toList());
    double others = servedShare(calls.stream().filter(call -> !call.abusive).toList());
    assertThat(abusive).isLessThanOrEqualTo(others + 0.02);
    assertThat(others).isGreaterThanOrEqualTo(servedShare(honest.in(0, BURST_END_MS)) - 0.02);
  }

  /** Guards against promises to return that are not kept, and against returns at one moment. */
  @ParameterizedTest
  @CsvSource({"1.3", "2"})
  void returningCallersAreServedAndSpread(double load) {
    QueueReplay replay = replay(Decisions.QUEUES, alternating(load), 0);
    List<Call> returned =
        replay.in(0, BURST_END_MS).stream()
            .filter(call -> call.keptReturn || call.refusedAfterReturn)
            .toList();
    long refusedAgain = returned.stream().filter(call -> call.refusedAfterReturn).count();
    assertThat(returned).hasSizeGreaterThan(20);
    assertThat((double) refusedAgain).isLessThanOrEqualTo(returned.size() / 20.0);
    Map<Long, Integer> perSlice = new HashMap<>();
    replay.returnsMs.forEach(atMs -> perSlice.merge(atMs / 100, 1, Integer::sum));
    assertThat(perSlice.values()).allMatch(count -> count <= replay.returnsMs.size() / 10);
  }

  /** Guards against refusals while a place is free. */
  @ParameterizedTest
  @ValueSource(doubles = {0.8, 1.3, 3})
  void nothingIsRefusedWhileAPlaceIsFree(double load) {
    QueueReplay replay = replay(Decisions.QUEUES, alternating(load), 0);
    assertThat(replay.refusalsWithRoom).isZero();
    if (load < 1) {
      assertThat(replay.refusals).isZero();
    }
  }

  /** Guards against an overload that lasts after the servers of a failure domain were lost. */
  @Test
  void theLossOfOneFailureDomainCostsNoMoreThanItsPlaces() {
    QueueReplay replay = new QueueReplay(Decisions.QUEUES, ENTRIES, 0, 7);
    int left = QueueReplay.PLACES * 2 / 3;
    replay.run((kind, nowMs) -> 0.9, END_MS, Map.of(5_000L, left, 12_000L, QueueReplay.PLACES));
    double best = replay.bestEarned(6_000, 12_000, left);
    assertThat(replay.earned(6_000, 12_000)).isGreaterThanOrEqualTo(0.9 * best);
    assertThat(onTimeShare(replay.in(17_000, END_MS)))
        .isGreaterThanOrEqualTo(onTimeShare(replay.in(0, 5_000)) - 0.01);
  }
}
