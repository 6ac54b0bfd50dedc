package io.samphiregauge.core.admit;

import io.samphiregauge.core.result.Failure;

/** Reason for rejecting a request before execution; the outcome is always {@code not_run}. */
public sealed interface Refusal extends Failure {
  /**
   * The response would not be complete before the deadline.
   *
   * @param expectedMs expected time until the response is complete, in milliseconds
   * @param remainingMs time until the deadline, in milliseconds
   */
  record DeadlineExceeded(long expectedMs, long remainingMs) implements Refusal {
    @Override
    public String type() {
      return "deadline";
    }

    @Override
    public String message() {
      return "The response is expected to take %d ms, but the deadline is in %d ms."
          .formatted(expectedMs, remainingMs);
    }
  }

  /**
   * The team has reached one of its limits.
   *
   * @param team name of the team
   * @param limit name of the limit, as in the configuration
   * @param retryAfterMs delay after which a retry may succeed, in milliseconds
   */
  record TeamLimit(String team, String limit, long retryAfterMs) implements Refusal {
    @Override
    public String type() {
      return "team_limit";
    }

    @Override
    public String message() {
      return "The team \"%s\" has reached its limit \"%s\"; retry after %d ms."
          .formatted(team, limit, retryAfterMs);
    }
  }

  /**
   * The queues of all servers are longer than the caller waits.
   *
   * @param expectedMs expected time to the first byte of the response, in milliseconds
   * @param patienceMs time for which the caller waits for it, in milliseconds
   * @param retryAfterMs delay after which the queues are expected to be short enough
   */
  record Overloaded(long expectedMs, long patienceMs, long retryAfterMs) implements Refusal {
    /** Machine-readable type of this refusal. */
    public static final String TYPE = "overloaded";

    @Override
    public String type() {
      return TYPE;
    }

    @Override
    public String message() {
      return "The response is expected after %d ms, but the caller waits for %d ms; retry after %d ms."
          .formatted(expectedMs, patienceMs, retryAfterMs);
    }
  }
}
