package io.samphiregauge.core.admit;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiregauge.core.RandomSource;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class AdmissionTest {
  private final RandomSource random = new SplittableRandom(7)::nextLong;

  /** Guards against retries that multiply the load during an outage. */
  @Test
  void retriesAddAtMostTenPercentWhenAllRequestsFail() {
    RetryBudget budget = new RetryBudget();
    int requests = 10_000;
    int retries = 0;
    for (int i = 0; i < requests; i++) {
      budget.recordRequest();
      while (budget.tryAcquire()) {
        retries++;
      }
    }
    assertThat(retries).isLessThanOrEqualTo(requests / 10 + 1).isGreaterThan(requests / 11);
  }

  /** Guards against synchronized retries and against unbounded delays. */
  @Test
  void backoffGrowsWithJitterUpToItsLimit() {
    for (int attempt = 1; attempt < 40; attempt++) {
      long maxDelayMs = Math.min(2_000, 20L << Math.min(10, attempt - 1));
      assertThat(RetryBudget.backoffMs(attempt, random)).isBetween(1L, maxDelayMs);
    }
    assertThat(RetryBudget.backoffMs(8, random)).isNotEqualTo(RetryBudget.backoffMs(8, random));
  }

  /** Guards against requests to an engine that keeps failing. */
  @Test
  void breakerStaysOpenUntilAProbeSucceeds() {
    EngineCircuitBreaker breaker = new EngineCircuitBreaker(random);
    for (int i = 0; i < 3; i++) {
      assertThat(breaker.allowsRequest("e", 0)).isTrue();
      breaker.recordFailure("e", 0);
    }
    assertThat(breaker.allowsRequest("e", 400)).isFalse();
    assertThat(breaker.allowsRequest("other", 400)).isTrue();
    assertThat(breaker.allowsRequest("e", 1_000)).isTrue();
    breaker.recordSent("e");
    assertThat(breaker.allowsRequest("e", 1_000)).isFalse();
    breaker.recordResponse("e");
    assertThat(breaker.allowsRequest("e", 1_000)).isTrue();
  }

  /** Guards against a request rate, concurrency or spending above the share of the entry. */
  @Test
  void teamStaysWithinItsLimits() {
    TeamLimits rate = limits(share(5), Optional.empty(), Optional.empty());
    assertThat(countStarted(rate, 100, 0, 10_000)).isBetween(50, 56);
    TeamLimits running = limits(Optional.empty(), share(3), Optional.empty());
    assertThat(countStarted(running, 10, 0, 0)).isEqualTo(3);
    running.finish(0);
    assertThat(running.tryStart(0)).isEmpty();
    TeamLimits spending = limits(Optional.empty(), Optional.empty(), share(100));
    assertThat(spending.tryStart(0)).isEmpty();
    spending.finish(150);
    assertThat(spending.tryStart(0).map(Refusal::type)).contains("team_limit");
    spending.resetHourlySpend();
    assertThat(spending.tryStart(0)).isEmpty();
  }

  private static int countStarted(TeamLimits limits, int requests, long fromMs, long toMs) {
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
