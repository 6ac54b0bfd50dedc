package io.samphiregauge.daemon.traffic;

/** Receives the usage of requests while they run; called on event loops. */
@FunctionalInterface
public interface UsageListener {
  /**
   * Adds to the usage of a team.
   *
   * @param team name of the team
   * @param model name of the model
   * @param promptTokens prompt tokens of a request whose response has just started, or 0
   * @param outputTokens output tokens forwarded to the caller since the previous report
   */
  void add(String team, String model, long promptTokens, long outputTokens);
}
