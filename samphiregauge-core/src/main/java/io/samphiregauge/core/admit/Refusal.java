package io.samphiregauge.core.admit;

import io.samphiregauge.core.result.Failure;

/** Why a request was refused before it ran; the outcome of each is {@code not_run}. */
public sealed interface Refusal extends Failure {
  /**
   * The answer would come after the deadline.
   *
   * @param expectedMs expected time to the whole answer
   * @param remainingMs time left
   */
  record DeadlineExceeded(long expectedMs, long remainingMs) implements Refusal {
    @Override
    public String type() {
      return "deadline";
    }

    @Override
    public String message() {
      return "The answer is expected to take %d ms, and %d ms are left."
          .formatted(expectedMs, remainingMs);
    }
  }

  /**
   * The team has reached a limit.
   *
   * @param team team
   * @param limit name of the limit, as in the configuration
   * @param retryAfterMs time after which a repeat may succeed
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
}
