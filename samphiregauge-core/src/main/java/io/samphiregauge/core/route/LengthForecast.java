package io.samphiregauge.core.route;

import java.util.HashMap;
import java.util.Map;

/**
 * Expects the length of an answer from earlier answers on the same route: of the same team, or of
 * any team while the team has none.
 */
public final class LengthForecast {
  private static final double WEIGHT_OF_NEW = 0.1;

  /** Expected length on a route without any answer yet, in tokens. */
  private static final double DEFAULT_TOKENS = 128;

  private final Map<String, Double> expected = new HashMap<>();

  /**
   * Returns the expected length.
   *
   * @param team team
   * @param route route
   * @return tokens
   */
  public double expected(String team, String route) {
    Double ofTeam = expected.get(key(team, route));
    return ofTeam == null ? expected.getOrDefault(route, DEFAULT_TOKENS) : ofTeam;
  }

  /**
   * Learns from an answer.
   *
   * @param team team
   * @param route route
   * @param tokens length of the answer
   */
  public void answered(String team, String route, int tokens) {
    learn(key(team, route), tokens);
    learn(route, tokens);
  }

  private void learn(String key, double tokens) {
    expected.merge(key, tokens, (old, next) -> old + WEIGHT_OF_NEW * (next - old));
  }

  private static String key(String team, String route) {
    return team + '/' + route;
  }
}
