package io.samphiregauge.core.admit;

import java.util.Optional;

/**
 * Decides whether a request can still be answered in time. A pure function of what is known about
 * the best server, without clock or I/O.
 *
 * <p>Load pattern: a burst of long prompts fills the queues of all engines beyond the patience of
 * the callers. Without refusals, each further request waits until its caller gives up, and takes
 * time from those that could be served. A caller that is told at once when to return comes back to
 * shorter queues, or asks elsewhere.
 */
public final class AdmissionPolicy {
  /**
   * Part of the expected time that is taken as certain. Known loads are old and the expected time
   * is a median, so in doubt a request is served.
   */
  private static final double CERTAIN_SHARE = 0.8;

  /** Part of its patience within which a request is expected to be served when it returns. */
  private static final double TARGET_SHARE = 0.5;

  private static final double MIN_RETRY_MS = 250;
  private static final double MAX_RETRY_MS = 5_000;

  /** Spread of the delays, so that refused callers do not return at the same moment. */
  private static final double JITTER = 0.5;

  private AdmissionPolicy() {}

  /**
   * Decides on a request.
   *
   * @param expectedMs expected time to the first byte of the response from the best server
   * @param patienceMs time for which the caller still waits for it
   * @param random random number from 0 to 1, for the jitter
   * @return the refusal, or empty to admit the request
   */
  public static Optional<Refusal.Overloaded> decide(
      double expectedMs, long patienceMs, double random) {
    if (expectedMs * CERTAIN_SHARE <= patienceMs) {
      return Optional.empty();
    }
    double drainMs = expectedMs - patienceMs * TARGET_SHARE;
    double delayMs = Math.max(MIN_RETRY_MS, Math.min(MAX_RETRY_MS, drainMs));
    return Optional.of(
        new Refusal.Overloaded(
            Math.round(expectedMs), patienceMs, Math.round(delayMs * (1 + JITTER * random))));
  }
}
