package io.samphiregauge.core.admit;

import java.util.Optional;

/**
 * The limits of one team at one entry: rate, running requests, spending in the current hour. Each
 * is this entry's share of a limit over all entries. Used by one thread.
 *
 * <pre>{@code
 * limits.tryStart(nowMs).ifPresentOrElse(this::refuse, this::run);
 * limits.finished(costMicros);
 * }</pre>
 */
public final class TeamLimits {
  private static final double MS_PER_S = 1_000;

  /** Requests that may come at once, in seconds of the rate. */
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
   * Makes limits without use.
   *
   * @param team team
   * @param requestRate share of the requests per second, or empty without a limit
   * @param concurrency share of the running requests, or empty without a limit
   * @param hourlySpendMicros share of the spending in an hour, or empty without a limit
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
   * Starts a request, if all limits allow it.
   *
   * @param nowMs time
   * @return a refusal, or empty when the request may run
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
   * Ends a request that was started.
   *
   * @param costMicros what it cost, in millionths of the currency
   */
  public void finish(long costMicros) {
    running--;
    spentMicros += costMicros;
  }

  /** Starts a new hour of spending. */
  public void resetHourlySpend() {
    spentMicros = 0;
  }

  /** Returns the running requests. */
  public int running() {
    return running;
  }

  /** Returns the spending in the current hour. */
  public long spentMicros() {
    return spentMicros;
  }

  /** Returns the requests offered since the last call, for the demand that is announced. */
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
