package io.samphiregauge.core.dispatch;

/**
 * How fast the engines of one service work, as learned from the responses that one entry received.
 * Confined to one traffic thread.
 *
 * <p>Load pattern: the mix of long prompts and long answers shifts, and deployments differ in model
 * and hardware, so no rate of one deployment holds for another. Only successful responses are
 * recorded: an engine that fails fast does not look fast.
 */
public final class EngineRates {
  /** Prefill rate assumed before the first response of an engine that only prefills. */
  private static final double START_PREFILL_MS_PER_TOKEN = 1 / 30.0;

  /** Prefill rate assumed for an engine that generates tokens at the same time. */
  private static final double START_SHARED_PREFILL_MS_PER_TOKEN = 1 / 10.0;

  private static final double START_FIRST_TOKEN_MS = 30;
  private static final double START_RUN_MS = 300;

  /**
   * Part of a prefill's duration that counts as delay for each request that the engine generates
   * meanwhile: its tokens come with longer pauses.
   */
  private static final double INTERFERENCE_PER_REQUEST = 0.3;

  /** Weight of the newest run in the smoothed duration. */
  private static final double RUN_WEIGHT = 0.05;

  private final LatencyEstimate prefill =
      new LatencyEstimate(START_FIRST_TOKEN_MS, START_PREFILL_MS_PER_TOKEN);
  private final LatencyEstimate sharedPrefill =
      new LatencyEstimate(START_FIRST_TOKEN_MS, START_SHARED_PREFILL_MS_PER_TOKEN);
  private final LatencyEstimate handover = new LatencyEstimate(START_FIRST_TOKEN_MS, 0);
  private final double fetchMsPerToken;
  private double runMs = START_RUN_MS;

  /**
   * Creates rates without observations.
   *
   * @param fetchMsPerToken transfer time of the KV cache of one token between two engines of a
   *     failure domain, in milliseconds
   */
  public EngineRates(double fetchMsPerToken) {
    this.fetchMsPerToken = fetchMsPerToken;
  }

  private LatencyEstimate estimateFor(ServerLoad load) {
    return load.server().prefillOnly() ? prefill : sharedPrefill;
  }

  /**
   * Returns the time until an engine has prefilled a prompt and those that it has queued.
   *
   * @param load the engine
   * @param uncachedTokens tokens of the prompt that it has to compute
   * @return the time in milliseconds
   */
  double prefillMs(ServerLoad load, long uncachedTokens) {
    return estimateFor(load).expectedMs((double) load.totalPromptTokens() + uncachedTokens)
        * load.slowness();
  }

  /** Returns the time in which an engine computes tokens of a prompt, in milliseconds. */
  double computeMs(ServerLoad load, int tokens) {
    return tokens * estimateFor(load).msPerToken() * load.slowness();
  }

  /** Returns the delay that the queued prompts of an engine cause, in milliseconds. */
  double queueMs(ServerLoad load) {
    return load.totalPromptTokens() * estimateFor(load).msPerToken() * load.slowness();
  }

  /**
   * Returns the cost of the delay that a prefill causes to the requests that the engine generates.
   *
   * @param load the engine
   * @param uncachedTokens tokens of the prompt that it has to compute
   * @return the cost in milliseconds; 0 for an engine that only prefills
   */
  double interferenceMs(ServerLoad load, long uncachedTokens) {
    if (load.server().prefillOnly()) {
      return 0;
    }
    int running = Math.min(load.totalInFlight(), load.server().slots());
    return uncachedTokens * sharedPrefill.msPerToken() * running * INTERFERENCE_PER_REQUEST;
  }

  /** Returns the time to the first token of a prompt that another engine has prefilled. */
  double handoverMs() {
    return handover.expectedMs(0);
  }

  /**
   * Returns the expected wait for a slot of an engine that generates, in milliseconds. It is 0
   * while slots are free.
   */
  double slotWaitMs(ServerLoad load) {
    int slots = Math.max(1, load.server().slots());
    return Math.max(0, load.totalInFlight() + 1 - slots) * runMs / slots;
  }

  /**
   * Returns the expected wait of a request before the engine starts it, in milliseconds.
   *
   * @param load the engine
   */
  public double waitMs(ServerLoad load) {
    return queueMs(load) + (load.server().prefillOnly() ? 0 : slotWaitMs(load));
  }

  /** Returns the transfer time between two engines of a failure domain, in milliseconds. */
  double fetchMs(int tokens) {
    return tokens * fetchMsPerToken;
  }

  /**
   * Records the first response of an engine that prefilled a prompt.
   *
   * @param load the engine
   * @param tokens tokens of the prompt and of those that were queued before it
   * @param tookMs time from sending the request to the response, in milliseconds
   */
  public void recordPrefill(ServerLoad load, double tokens, double tookMs) {
    LatencyEstimate estimate = estimateFor(load);
    load.recordSpeed(tookMs, estimate.expectedMs(tokens));
    estimate.record(tokens, tookMs);
  }

  /**
   * Records the first token of a prompt that another engine prefilled.
   *
   * @param load the engine that decodes
   * @param tookMs time from sending the request to the token, in milliseconds
   */
  public void recordHandover(ServerLoad load, double tookMs) {
    load.recordSpeedSample(tookMs, handover.expectedMs(0));
    handover.record(0, tookMs);
  }

  /**
   * Records a complete response.
   *
   * @param durationMs time from its first token to its end, in milliseconds
   */
  public void recordRun(long durationMs) {
    runMs += RUN_WEIGHT * (durationMs - runMs);
  }
}
