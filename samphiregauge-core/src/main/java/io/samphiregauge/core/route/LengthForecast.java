package io.samphiregauge.core.route;

import java.util.HashMap;
import java.util.Map;

/** Expects the length of an answer from earlier answers on the same route of the same team. */
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
    return expected.getOrDefault(key(team, route), DEFAULT_TOKENS);
  }

  /**
   * Learns from an answer.
   *
   * @param team team
   * @param route route
   * @param tokens length of the answer
   */
  public void answered(String team, String route, int tokens) {
    expected.merge(
        key(team, route), (double) tokens, (old, next) -> old + WEIGHT_OF_NEW * (next - old));
  }

  private static String key(String team, String route) {
    return team + '/' + route;
  }
}
