package io.samphiregauge.core.dispatch;

/**
 * Learns how long work takes as a fixed part plus a part for each token. It follows the median of
 * the observations, so that work that waited behind unknown work does not distort it. Not
 * thread-safe.
 */
final class LatencyEstimate {
  /** Relative change for one observation: 20 observations correct an error of factor 2.5. */
  private static final double STEP = 0.05;

  /** Factor between the start values and the limits of what is learned. */
  private static final double MAX_CHANGE = 10;

  private final double startFixedMs;
  private final double startMsPerToken;
  private double fixedMs;
  private double msPerToken;

  /**
   * Creates an estimate without observations.
   *
   * @param startFixedMs fixed part that is assumed at first, in milliseconds
   * @param startMsPerToken part for each token that is assumed at first, in milliseconds
   */
  LatencyEstimate(double startFixedMs, double startMsPerToken) {
    this.startFixedMs = startFixedMs;
    this.startMsPerToken = startMsPerToken;
    this.fixedMs = startFixedMs;
    this.msPerToken = startMsPerToken;
  }

  /** Returns the expected time for a number of tokens, in milliseconds. */
  double expectedMs(double tokens) {
    return fixedMs + tokens * msPerToken;
  }

  /** Returns the expected time for one token more, in milliseconds. */
  double msPerToken() {
    return msPerToken;
  }

  /**
   * Records how long work took. Each part is corrected by its share of the expected time.
   *
   * @param tokens tokens of the work, with those that were queued before it
   * @param tookMs time that it took, in milliseconds
   */
  void record(double tokens, double tookMs) {
    double expectedMs = Math.max(1e-3, expectedMs(tokens));
    double direction = Math.signum(tookMs - expectedMs);
    double tokenShare = tokens * msPerToken / expectedMs;
    fixedMs = limit(fixedMs * (1 + STEP * direction * (1 - tokenShare)), startFixedMs);
    msPerToken = limit(msPerToken * (1 + STEP * direction * tokenShare), startMsPerToken);
  }

  private static double limit(double value, double start) {
    return Math.max(start / MAX_CHANGE, Math.min(start * MAX_CHANGE, value));
  }
}
