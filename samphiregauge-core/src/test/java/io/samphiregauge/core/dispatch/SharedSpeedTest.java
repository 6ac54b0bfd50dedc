package io.samphiregauge.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiregauge.core.backend.BackendServer;
import io.samphiregauge.core.backend.EngineStage;
import io.samphiregauge.core.exchange.LoadExchange;
import io.samphiregauge.schema.peer.ServerSpeed;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.IntPredicate;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that are sent to engines which have turned slow, because each entry sends
 * one engine only a request in several seconds and learns nothing from the others. Replays 63
 * entries that choose among 34 engines at 314 short requests a second.
 */
class SharedSpeedTest {
  private static final int ENTRIES = 63;
  private static final int DOMAINS = 3;
  private static final int ENGINES = 34;
  private static final int SLOW_ENGINES = 6;
  private static final double SLOW_FACTOR = 5;
  private static final int REQUESTS_PER_PERIOD = 78;
  private static final double USUAL_MS = 30;
  private static final long PERIOD_MS = 250;
  private static final Prompt PROMPT = new Prompt(400, 3, List.of());

  private final Random random = new Random(7);
  private final List<LoadExchange.Peer> members = new ArrayList<>();
  private final List<LoadExchange> exchanges = new ArrayList<>();
  private final List<List<ServerLoad>> loads = new ArrayList<>();
  private final List<EngineRates> rates = new ArrayList<>();
  private final List<ServerChooser> choosers = new ArrayList<>();
  private long nowMs = 1_000;

  private void start() {
    for (int entry = 0; entry < ENTRIES; entry++) {
      String domain = "d" + entry % DOMAINS;
      members.add(new LoadExchange.Peer("vm-%02d".formatted(entry), domain, "" + entry));
      exchanges.add(new LoadExchange("vm-%02d".formatted(entry), domain));
      List<ServerLoad> engines = new ArrayList<>();
      for (int engine = 0; engine < ENGINES; engine++) {
        engines.add(new ServerLoad(engine(engine), 100_000, 40));
      }
      loads.add(engines);
      rates.add(new EngineRates(0.0004));
      choosers.add(new ServerChooser(domain, Sampling.randomSubset(domain, random::nextLong)));
    }
  }

  private static BackendServer engine(int number) {
    return new BackendServer(
        "e-" + number,
        1,
        "llm",
        "v1",
        "10.0.0.%d:80".formatted(number + 1),
        "d" + number % DOMAINS,
        16,
        false,
        Optional.of(EngineStage.DECODE),
        false);
  }

  /** Plays a time and returns the share of requests that slow engines got. */
  private double play(int periods, IntPredicate slow, boolean shared) {
    int toSlow = 0;
    for (int period = 0; period < periods; period++) {
      for (int request = 0; request < REQUESTS_PER_PERIOD; request++) {
        int entry = random.nextInt(ENTRIES);
        ServerLoad chosen =
            choosers
                .get(entry)
                .planPrefill(PROMPT, loads.get(entry), rates.get(entry), nowMs)
                .orElseThrow()
                .server();
        boolean isSlow = slow.test(loads.get(entry).indexOf(chosen));
        toSlow += isSlow ? 1 : 0;
        double tookMs = USUAL_MS * (0.8 + 0.4 * random.nextDouble()) * (isSlow ? SLOW_FACTOR : 1);
        rates.get(entry).recordPrefill(chosen, PROMPT.tokens(), tookMs);
      }
      nowMs += PERIOD_MS;
      if (shared) {
        exchange();
      }
    }
    return toSlow / (double) (periods * REQUESTS_PER_PERIOD);
  }

  private void exchange() {
    for (int entry = 0; entry < ENTRIES; entry++) {
      exchanges
          .get(entry)
          .setOwnSpeeds(
              loads.get(entry).stream().flatMap(load -> load.endSpeedPeriod().stream()).toList());
      exchanges
          .get(entry)
          .messages(members, List.of(), List.of(), nowMs)
          .forEach(
              outgoing ->
                  outgoing
                      .addresses()
                      .forEach(
                          address ->
                              exchanges
                                  .get(Integer.parseInt(address))
                                  .receive(outgoing.message(), nowMs)));
    }
    for (int entry = 0; entry < ENTRIES; entry++) {
      Map<Integer, ServerSpeed> speeds = new HashMap<>();
      exchanges.get(entry).fleetSpeeds(nowMs).forEach(s -> speeds.put(s.getBackend(), s));
      for (ServerLoad load : loads.get(entry)) {
        Optional<ServerSpeed> speed = Optional.ofNullable(speeds.get(load.key()));
        load.setFleetSpeed(
            speed.map(ServerSpeed::getResponses).orElse(0),
            speed.map(ServerSpeed::getSlownessSum).orElse(0.0));
      }
    }
  }

  /** Slow engines get at most a third of their usual part within 1.5 s; without sharing, more. */
  @Test
  void entriesLearnFromEachOtherWhichEnginesAreSlow() {
    double usual = SLOW_ENGINES / (double) ENGINES;
    IntPredicate slow = engine -> engine < SLOW_ENGINES;
    start();
    play(20, engine -> false, true);
    play(6, slow, true);
    assertThat(play(22, slow, true)).isLessThan(usual / 3);

    SharedSpeedTest alone = new SharedSpeedTest();
    alone.start();
    alone.play(20, engine -> false, false);
    alone.play(6, slow, false);
    assertThat(alone.play(22, slow, false)).isGreaterThan(usual / 3);
  }

  /** Guards against an engine that is shut out for good, and against a rush when it recovers. */
  @Test
  void engineGetsWorkBackByStepsWhenItIsFastAgain() {
    double usual = SLOW_ENGINES / (double) ENGINES;
    IntPredicate group = engine -> engine < SLOW_ENGINES;
    start();
    play(20, engine -> false, true);
    play(20, group, true);
    int sent = 0;
    double most = 0;
    for (int period = 0; period < 24; period++) {
      double share = playRecovered(group);
      most = Math.max(most, share);
      sent += share > 0 ? 1 : 0;
    }
    assertThat(sent).isGreaterThan(12);
    assertThat(most).isLessThan(2.5 * usual);
  }

  private double playRecovered(IntPredicate group) {
    int[] counted = new int[1];
    play(
        1,
        engine -> {
          counted[0] += group.test(engine) ? 1 : 0;
          return false;
        },
        true);
    return counted[0] / (double) REQUESTS_PER_PERIOD;
  }

  /** Guards against one entry that reports false figures and shuts an engine out. */
  @Test
  void falseFiguresAreBoundedAndForgotten() {
    ServerLoad load = new ServerLoad(engine(1), 100_000, 40);
    load.setFleetSpeed(1_000_000, 1e12);
    assertThat(load.slowness()).isEqualTo(4);
    for (int period = 0; period < 20; period++) {
      load.setFleetSpeed(0, 0);
    }
    assertThat(load.slowness()).isLessThan(1.1);
  }

  /** Guards against a restarted server that is taken for as slow as its predecessor. */
  @Test
  void slownessIsForgottenWithTheIncarnation() {
    ServerLoad before = new ServerLoad(engine(1), 100_000, 40);
    before.setFleetSpeed(10, 50);
    assertThat(before.slowness()).isGreaterThan(3);
    assertThat(new ServerLoad(engine(1), 100_000, 40).slowness()).isEqualTo(1);
  }
}
