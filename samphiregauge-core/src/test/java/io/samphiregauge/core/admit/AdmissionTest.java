package io.samphiregauge.core.admit;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiregauge.core.RandomSource;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class AdmissionTest {
  private final RandomSource random = new SplittableRandom(7)::nextLong;

  /** Guards against retries that multiply the load when every attempt fails. */
  @Test
  void retriesAddUnderTenPercentInMeltdown() {
    RetryBudget budget = new RetryBudget();
    int requests = 10_000;
    int retries = 0;
    for (int i = 0; i < requests; i++) {
      budget.request();
      while (budget.tryRetry()) {
        retries++;
      }
    }
    assertThat(retries).isLessThanOrEqualTo(requests / 10 + 1).isGreaterThan(requests / 11);
  }

  /** Guards against retries at the same moment, and against waits without an end. */
  @Test
  void backoffGrowsWithJitterUpToItsLimit() {
    for (int attempt = 1; attempt < 40; attempt++) {
      long most = Math.min(2_000, 20L << Math.min(10, attempt - 1));
      assertThat(RetryBudget.delayMs(attempt, random)).isBetween(1L, most);
    }
    assertThat(RetryBudget.delayMs(8, random)).isNotEqualTo(RetryBudget.delayMs(8, random));
  }

  /** Guards against an engine that fails and keeps getting requests. */
  @Test
  void failingEngineIsKeptAwayUntilOneProbeSucceeds() {
    EngineBreaker breaker = new EngineBreaker(random);
    for (int i = 0; i < 3; i++) {
      assertThat(breaker.allows("e", 0)).isTrue();
      breaker.failed("e", 0);
    }
    assertThat(breaker.allows("e", 400)).isFalse();
    assertThat(breaker.allows("other", 400)).isTrue();
    assertThat(breaker.allows("e", 1_000)).isTrue();
    breaker.sent("e");
    assertThat(breaker.allows("e", 1_000)).isFalse();
    breaker.answered("e");
    assertThat(breaker.allows("e", 1_000)).isTrue();
  }

  /** Guards against a rate, concurrency or spending above the share of the entry. */
  @Test
  void teamStaysWithinItsShares() {
    TeamLimits rate = limits(share(5), Optional.empty(), Optional.empty());
    assertThat(started(rate, 100, 0, 10_000)).isBetween(50, 56);
    TeamLimits running = limits(Optional.empty(), share(3), Optional.empty());
    assertThat(started(running, 10, 0, 0)).isEqualTo(3);
    running.finished(0);
    assertThat(running.tryStart(0)).isEmpty();
    TeamLimits spending = limits(Optional.empty(), Optional.empty(), share(100));
    assertThat(spending.tryStart(0)).isEmpty();
    spending.finished(150);
    assertThat(spending.tryStart(0).map(Refusal::type)).contains("team_limit");
    spending.newHour();
    assertThat(spending.tryStart(0)).isEmpty();
  }

  private static int started(TeamLimits limits, int requests, long fromMs, long toMs) {
    int started = 0;
    for (int i = 0; i < requests; i++) {
      long atMs = fromMs + (toMs - fromMs) * i / requests;
      started += limits.tryStart(atMs).isEmpty() ? 1 : 0;
    }
    return started;
  }

  private static TeamLimits limits(
      Optional<LimitShare> rate, Optional<LimitShare> running, Optional<LimitShare> spending) {
    return new TeamLimits("t", rate, running, spending);
  }

  private static Optional<LimitShare> share(double limit) {
    return Optional.of(new LimitShare("self", 1, limit, 1));
  }
}
