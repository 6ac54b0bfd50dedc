package io.samphiregauge.replay;

import java.util.List;

/**
 * A stretch of a trace with one mix of requests.
 *
 * @param seconds length
 * @param requestsPerSecondPerEngine arrivals, for each engine of the deployment
 * @param largestTeamRateFactor factor on the rate of the first and largest team
 * @param mix kinds of requests with their weights
 */
record TracePhase(
    int seconds,
    double requestsPerSecondPerEngine,
    double largestTeamRateFactor,
    List<WeightedKind> mix) {
  record WeightedKind(RequestKind kind, double weight) {}

  private static final List<WeightedKind> CALM_MIX =
      List.of(
          new WeightedKind(RequestKind.PLAN, 0.15),
          new WeightedKind(RequestKind.QUESTION, 0.60),
          new WeightedKind(RequestKind.OFFER, 0.25));
  private static final List<WeightedKind> PROMPT_MIX =
      List.of(
          new WeightedKind(RequestKind.WHOLE_RECORD, 0.45),
          new WeightedKind(RequestKind.QUESTION, 0.45),
          new WeightedKind(RequestKind.OFFER, 0.10));
  private static final List<WeightedKind> OUTPUT_MIX =
      List.of(
          new WeightedKind(RequestKind.PLAN, 0.03),
          new WeightedKind(RequestKind.QUESTION, 0.37),
          new WeightedKind(RequestKind.ANSWER, 0.60));

  /** About 54% of the engine time that the requests need at best is taken. */
  static TracePhase calm(int seconds) {
    return new TracePhase(seconds, 3.6, 1, CALM_MIX);
  }

  /** About 65% of the work is prefill, and 75% of the engine time is taken. */
  static TracePhase promptHeavy(int seconds) {
    return new TracePhase(seconds, 2.0, 1, PROMPT_MIX);
  }

  /** About 89% of the work is decode, and 75% of the engine time is taken. */
  static TracePhase outputHeavy(int seconds) {
    return new TracePhase(seconds, 3.0, 1, OUTPUT_MIX);
  }

  /** The first team sends five times its calm rate; the offered work exceeds the fleet. */
  static TracePhase storm(int seconds) {
    return new TracePhase(seconds, 3.6, 5, CALM_MIX);
  }
}
