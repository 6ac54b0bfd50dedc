package io.samphiregauge.core.site;

import io.samphiregauge.core.dispatch.Prompt;
import java.util.Optional;

/**
 * A limit on what a team uses over all entries together.
 *
 * @param unit what is counted
 * @param ratePerS units that accrue per second; positive
 * @param burst units that accrue at most
 * @param plainTokens tokens that a request without token counts counts for
 */
public record TeamQuota(QuotaUnit unit, double ratePerS, double burst, long plainTokens) {
  /**
   * Returns what a request counts for.
   *
   * @param prompt the token counts of the request, if it has them
   * @return the cost in the unit of the quota, at least 1
   */
  public long cost(Optional<Prompt> prompt) {
    if (unit == QuotaUnit.REQUESTS) {
      return 1;
    }
    long tokens =
        prompt.map(counts -> (long) counts.tokens() + counts.maxOutputTokens()).orElse(plainTokens);
    return Math.max(1, tokens);
  }
}
