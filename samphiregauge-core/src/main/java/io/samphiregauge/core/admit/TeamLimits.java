package io.samphiregauge.core.admit;

import java.util.Optional;

/**
 * Enforces the limits of one team at one entry: request rate, concurrency and spending per hour.
 * Each is the share of this entry in a limit across all entries. Not thread-safe.
 *
 * <pre>{@code
 * limits.tryStart(nowMs).ifPresentOrElse(this::refuse, this::run);
 * limits.finish(costMicros);
 * }</pre>
 */
public final class TeamLimits {
  private static final double MS_PER_S = 1_000;

  /** Burst size, in seconds of the request rate. */
  private static final double BURST_SECONDS = 1;

  private static final long RETRY_MS = 1_000;

  private final String team;
  private final Optional<LimitShare> requestRate;
  private final Optional<LimitShare> concurrency;
  private final Optional<LimitShare> hourlySpendMicros;
  private double tokens = 1;
  private long lastRefillMs = Long.MIN_VALUE;
  private int running;
  private long spentMicros;
  private int offeredRequests;

  /**
   * Creates the limits of a team without running requests or spending.
   *
   * @param team name of the team
   * @param requestRate share of the limit on requests per second, if there is one
   * @param concurrency share of the limit on running requests, if there is one
   * @param hourlySpendMicros share of the spending limit per hour, in millionths of the currency,
   *     if there is one
   */
  public TeamLimits(
      String team,
      Optional<LimitShare> requestRate,
      Optional<LimitShare> concurrency,
      Optional<LimitShare> hourlySpendMicros) {
    this.team = team;
    this.requestRate = requestRate;
    this.concurrency = concurrency;
    this.hourlySpendMicros = hourlySpendMicros;
  }

  /**
   * Starts a request if all limits allow it.
   *
   * @param nowMs time in milliseconds
   * @return the refusal, or empty if the request may run
   */
  public Optional<Refusal> tryStart(long nowMs) {
    offeredRequests++;
    refill(nowMs);
    if (concurrency.isPresent() && running + 1 > Math.max(1, concurrency.get().share())) {
      return refusal("maxConcurrent", RETRY_MS);
    }
    if (hourlySpendMicros.isPresent() && spentMicros >= hourlySpendMicros.get().share()) {
      return refusal("spendPerHourMicros", RETRY_MS);
    }
    if (requestRate.isPresent()) {
      if (tokens < 1) {
        double rate = Math.max(1e-3, requestRate.get().share());
        return refusal("requestsPerSecond", (long) Math.ceil((1 - tokens) / rate * MS_PER_S));
      }
      tokens -= 1;
    }
    running++;
    return Optional.empty();
  }

  /**
   * Finishes a request that was started, and adds its cost to the spending.
   *
   * @param costMicros cost of the request, in millionths of the currency
   */
  public void finish(long costMicros) {
    running--;
    spentMicros += costMicros;
  }

  /** Resets the spending at the start of an hour. */
  public void resetHourlySpend() {
    spentMicros = 0;
  }

  /** Returns the number of running requests. */
  public int running() {
    return running;
  }

  /** Returns the spending in the current hour, in millionths of the currency. */
  public long spentMicros() {
    return spentMicros;
  }

  /**
   * Returns the number of requests offered since the last call, from which the announced demand is
   * computed.
   */
  public int drainOfferedRequests() {
    int drained = offeredRequests;
    offeredRequests = 0;
    return drained;
  }

  private void refill(long nowMs) {
    if (requestRate.isEmpty()) {
      return;
    }
    double rate = requestRate.get().share();
    if (lastRefillMs != Long.MIN_VALUE) {
      double maxTokens = Math.max(1, rate * BURST_SECONDS);
      tokens = Math.min(maxTokens, tokens + rate * (nowMs - lastRefillMs) / MS_PER_S);
    }
    lastRefillMs = nowMs;
  }

  private Optional<Refusal> refusal(String limit, long retryAfterMs) {
    return Optional.of(new Refusal.TeamLimit(team, limit, retryAfterMs));
  }
}
