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
  private static final double BURST_S = 1;

  private static final long RETRY_MS = 1_000;

  private final String team;
  private final Optional<LimitShare> perSecond;
  private final Optional<LimitShare> concurrent;
  private final Optional<LimitShare> spendMicros;
  private double tokens = 1;
  private long refilledMs = Long.MIN_VALUE;
  private int running;
  private long spentMicros;
  private int offered;

  /**
   * Makes limits without use.
   *
   * @param team team
   * @param perSecond share of the requests per second, or empty without a limit
   * @param concurrent share of the running requests, or empty without a limit
   * @param spendMicros share of the spending in an hour, or empty without a limit
   */
  public TeamLimits(
      String team,
      Optional<LimitShare> perSecond,
      Optional<LimitShare> concurrent,
      Optional<LimitShare> spendMicros) {
    this.team = team;
    this.perSecond = perSecond;
    this.concurrent = concurrent;
    this.spendMicros = spendMicros;
  }

  /**
   * Starts a request, if all limits allow it.
   *
   * @param nowMs time
   * @return a refusal, or empty when the request may run
   */
  public Optional<Refusal> tryStart(long nowMs) {
    offered++;
    refill(nowMs);
    if (concurrent.isPresent() && running + 1 > Math.max(1, concurrent.get().share())) {
      return refusal("maxConcurrent", RETRY_MS);
    }
    if (spendMicros.isPresent() && spentMicros >= spendMicros.get().share()) {
      return refusal("spendPerHourMicros", RETRY_MS);
    }
    if (perSecond.isPresent()) {
      if (tokens < 1) {
        double rate = Math.max(1e-3, perSecond.get().share());
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
  public void finished(long costMicros) {
    running--;
    spentMicros += costMicros;
  }

  /** Starts a new hour of spending. */
  public void newHour() {
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
  public int takeOffered() {
    int taken = offered;
    offered = 0;
    return taken;
  }

  private void refill(long nowMs) {
    if (perSecond.isEmpty()) {
      return;
    }
    double rate = perSecond.get().share();
    if (refilledMs != Long.MIN_VALUE) {
      double most = Math.max(1, rate * BURST_S);
      tokens = Math.min(most, tokens + rate * (nowMs - refilledMs) / MS_PER_S);
    }
    refilledMs = nowMs;
  }

  private Optional<Refusal> refusal(String limit, long retryAfterMs) {
    return Optional.of(new Refusal.TeamLimit(team, limit, retryAfterMs));
  }
}
