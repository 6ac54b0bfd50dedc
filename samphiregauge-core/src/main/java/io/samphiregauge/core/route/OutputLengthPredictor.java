package io.samphiregauge.core.route;

import java.util.HashMap;
import java.util.Map;

/**
 * Predicts the length of a response as the moving average over earlier responses on the same route:
 * those of the same team, or of all teams if the team has none.
 */
public final class OutputLengthPredictor {
  private static final double SMOOTHING_FACTOR = 0.1;

  /** Predicted length on a route without responses, in tokens. */
  private static final double INITIAL_TOKENS = 128;

  private final Map<String, Double> expectedTokens = new HashMap<>();

  /**
   * Returns the expected length of a response.
   *
   * @param team name of the team
   * @param route name of the route
   * @return length in tokens
   */
  public double expectedTokens(String team, String route) {
    Double teamTokens = expectedTokens.get(key(team, route));
    return teamTokens == null ? expectedTokens.getOrDefault(route, INITIAL_TOKENS) : teamTokens;
  }

  /**
   * Updates the averages of the team and the route with a complete response.
   *
   * @param team name of the team
   * @param route name of the route
   * @param tokens length of the response
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
