package io.samphiregauge.replay;

import java.util.List;

/**
 * Phase of a generated trace with a constant rate and mix of requests.
 *
 * @param seconds duration before scaling
 * @param requestsPerSecondPerEngine arrival rate per engine of the deployment
 * @param largestTeamRateFactor factor on the arrival rate of the first team, which is the largest
 * @param mix request profiles with weights that add up to 1
 */
record TracePhase(
    int seconds,
    double requestsPerSecondPerEngine,
    double largestTeamRateFactor,
    List<WeightedProfile> mix) {
  /** Request profile with its share of the arrivals. */
  record WeightedProfile(RequestProfile profile, double weight) {}

  private static final List<WeightedProfile> CALM_MIX =
      List.of(
          new WeightedProfile(RequestProfile.PLAN, 0.15),
          new WeightedProfile(RequestProfile.QUESTION, 0.60),
          new WeightedProfile(RequestProfile.OFFER, 0.25));
  private static final List<WeightedProfile> PROMPT_MIX =
      List.of(
          new WeightedProfile(RequestProfile.WHOLE_RECORD, 0.45),
          new WeightedProfile(RequestProfile.QUESTION, 0.45),
          new WeightedProfile(RequestProfile.OFFER, 0.10));
  private static final List<WeightedProfile> OUTPUT_MIX =
      List.of(
          new WeightedProfile(RequestProfile.PLAN, 0.03),
          new WeightedProfile(RequestProfile.QUESTION, 0.37),
          new WeightedProfile(RequestProfile.ANSWER, 0.60));

  /** Calm load; the minimum engine time of the requests is about 54% of the capacity. */
  static TracePhase calm(int seconds) {
    return new TracePhase(seconds, 3.6, 1, CALM_MIX);
  }

  /** Prompt-heavy load; about 65% of the work is prefill, at about 75% of the capacity. */
  static TracePhase promptHeavy(int seconds) {
    return new TracePhase(seconds, 2.0, 1, PROMPT_MIX);
  }

  /** Output-heavy load; about 89% of the work is decode, at about 75% of the capacity. */
  static TracePhase outputHeavy(int seconds) {
    return new TracePhase(seconds, 3.0, 1, OUTPUT_MIX);
  }

  /** Overload; the first team sends five times its calm rate, which exceeds the capacity. */
  static TracePhase storm(int seconds) {
    return new TracePhase(seconds, 3.6, 5, CALM_MIX);
  }
}
