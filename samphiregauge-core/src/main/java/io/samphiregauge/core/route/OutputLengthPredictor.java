package io.samphiregauge.core.route;

import java.util.HashMap;
import java.util.Map;

/**
 * Expects the length of an answer from earlier answers on the same route: of the same team, or of
 * any team while the team has none.
 */
public final class OutputLengthPredictor {
  private static final double SMOOTHING_FACTOR = 0.1;

  /** Expected length on a route without any answer yet, in tokens. */
  private static final double INITIAL_TOKENS = 128;

  private final Map<String, Double> expectedTokens = new HashMap<>();

  /**
   * Returns the expected length.
   *
   * @param team team
   * @param route route
   * @return tokens
   */
  public double expectedTokens(String team, String route) {
    Double teamTokens = expectedTokens.get(key(team, route));
    return teamTokens == null ? expectedTokens.getOrDefault(route, INITIAL_TOKENS) : teamTokens;
  }

  /**
   * Learns from an answer.
   *
   * @param team team
   * @param route route
   * @param tokens length of the answer
   */
  public void recordResponse(String team, String route, int tokens) {
    update(key(team, route), tokens);
    update(route, tokens);
  }

  private void update(String key, double tokens) {
    expectedTokens.merge(key, tokens, (old, next) -> old + SMOOTHING_FACTOR * (next - old));
  }

  private static String key(String team, String route) {
    return team + '/' + route;
  }
}
