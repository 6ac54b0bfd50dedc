package io.samphiregauge.daemon.traffic;

/** Takes the usage of requests while they run; called on event loops. */
@FunctionalInterface
public interface UsageListener {
  /**
   * Adds to the usage of a team.
   *
   * @param team the team
   * @param model the model
   * @param promptTokens prompt tokens of a request that has begun to run, or 0
   * @param outputTokens output tokens that were passed to the caller since the last call
   */
  void add(String team, String model, long promptTokens, long outputTokens);
}
