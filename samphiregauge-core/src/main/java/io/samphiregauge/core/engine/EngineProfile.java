package io.samphiregauge.core.engine;

import java.util.Objects;

/**
 * What is known of an engine before any report.
 *
 * @param name name of the engine
 * @param failureDomain failure domain that it is in
 * @param reclaimable whether the platform may take it away on short notice
 * @param prefillTokensPerSecond rate of a step that only prefills
 * @param stepBaseMs duration of an empty step
 * @param stepPerSequenceMs duration that each decoding sequence adds to a step
 * @param slots sequences that decode at once
 * @param mixedBudgetTokens prompt tokens that a mixed engine takes into one step
 * @param prefillBudgetTokens prompt tokens that a prefill engine takes into one step
 */
public record EngineProfile(
    String name,
    String failureDomain,
    boolean reclaimable,
    double prefillTokensPerSecond,
    double stepBaseMs,
    double stepPerSequenceMs,
    int slots,
    int mixedBudgetTokens,
    int prefillBudgetTokens) {
  private static final double MS_PER_SECOND = 1_000;
  private static final double DEFAULT_STEP_BASE_MS = 18;
  private static final double DEFAULT_STEP_PER_SEQUENCE_MS = 0.3;
  private static final int DEFAULT_MIXED_BUDGET_TOKENS = 256;
  private static final int DEFAULT_PREFILL_BUDGET_TOKENS = 2_048;

  /** A prompt token costs about a sixth of an output token at a full batch. */
  private static final double PREFILL_TO_DECODE_RATE = 6;

  /** Checks the arguments. */
  public EngineProfile {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(failureDomain, "failureDomain");
    if (prefillTokensPerSecond <= 0 || stepBaseMs <= 0 || slots < 1) {
      throw new IllegalArgumentException("engine \"" + name + "\" has no capacity");
    }
  }

  /**
   * Estimates the profile of an engine of which only the capacity is configured.
   *
   * @param name name of the engine
   * @param failureDomain failure domain that it is in
   * @param reclaimable whether the platform may take it away on short notice
   * @param capacityTokensPerSecond generated tokens per second at a full batch
   * @return the profile
   */
  public static EngineProfile ofCapacity(
      String name, String failureDomain, boolean reclaimable, int capacityTokensPerSecond) {
    double perSecond = Math.max(1, capacityTokensPerSecond);
    double baseMsPerToken = MS_PER_SECOND / perSecond - DEFAULT_STEP_PER_SEQUENCE_MS;
    int slots =
        baseMsPerToken <= 0
            ? 256
            : (int) Math.min(256, Math.max(1, DEFAULT_STEP_BASE_MS / baseMsPerToken));
    return new EngineProfile(
        name,
        failureDomain,
        reclaimable,
        perSecond * PREFILL_TO_DECODE_RATE,
        DEFAULT_STEP_BASE_MS,
        DEFAULT_STEP_PER_SEQUENCE_MS,
        slots,
        DEFAULT_MIXED_BUDGET_TOKENS,
        DEFAULT_PREFILL_BUDGET_TOKENS);
  }

  /** Returns the engine time that one prompt token takes at best, in milliseconds. */
  public double prefillMsPerToken() {
    return MS_PER_SECOND / prefillTokensPerSecond;
  }

  /** Returns the engine time that one output token takes in a full batch, in milliseconds. */
  public double decodeMsPerToken() {
    return (stepBaseMs + stepPerSequenceMs * slots) / slots;
  }

  /**
   * Returns the engine time of a request at best.
   *
   * @param promptTokens prompt tokens that no cache holds
   * @param outputTokens output tokens
   * @return milliseconds
   */
  public double workMs(double promptTokens, double outputTokens) {
    return promptTokens * prefillMsPerToken() + outputTokens * decodeMsPerToken();
  }
}
