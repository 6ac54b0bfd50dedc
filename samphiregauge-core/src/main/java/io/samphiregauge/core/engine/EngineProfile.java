package io.samphiregauge.core.engine;

import java.util.Objects;

/**
 * Static performance model of an engine, known before its first load report.
 *
 * @param name name of the engine
 * @param failureDomain failure domain of the engine
 * @param reclaimable whether the platform may reclaim it at short notice
 * @param prefillTokensPerSecond throughput of a step that only prefills
 * @param stepBaseMs duration of an empty step
 * @param stepPerSequenceMs additional duration of a step per decoding sequence
 * @param slots maximum number of sequences that decode concurrently
 * @param mixedBudgetTokens maximum prompt tokens per step of a mixed engine
 * @param prefillBudgetTokens maximum prompt tokens per step of a prefill engine
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

  /**
   * Assumed ratio of prefill to decode throughput: a prompt token takes a sixth of the engine time
   * that an output token takes in a full batch.
   */
  private static final double PREFILL_TO_DECODE_RATE = 6;

  /** Validates the arguments. */
  public EngineProfile {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(failureDomain, "failureDomain");
    if (prefillTokensPerSecond <= 0 || stepBaseMs <= 0 || slots < 1) {
      throw new IllegalArgumentException(
          "prefillTokensPerSecond, stepBaseMs and slots of engine \"%s\" must be positive, got %s, %s, %d"
              .formatted(name, prefillTokensPerSecond, stepBaseMs, slots));
    }
  }

  /**
   * Estimates the profile of an engine for which only the capacity is configured.
   *
   * @param name name of the engine
   * @param failureDomain failure domain of the engine
   * @param reclaimable whether the platform may reclaim it at short notice
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

  /** Returns the minimum engine time per prompt token, in milliseconds. */
  public double prefillMsPerToken() {
    return MS_PER_SECOND / prefillTokensPerSecond;
  }

  /** Returns the engine time per output token in a full batch, in milliseconds. */
  public double decodeMsPerToken() {
    return (stepBaseMs + stepPerSequenceMs * slots) / slots;
  }

  /**
   * Returns the minimum engine time of a request.
   *
   * @param promptTokens prompt tokens that are not cached
   * @param outputTokens output tokens
   * @return engine time in milliseconds
   */
  public double workMs(double promptTokens, double outputTokens) {
    return promptTokens * prefillMsPerToken() + outputTokens * decodeMsPerToken();
  }
}
