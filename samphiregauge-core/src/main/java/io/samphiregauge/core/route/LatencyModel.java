package io.samphiregauge.core.route;

import io.samphiregauge.core.engine.EngineProfile;
import io.samphiregauge.core.engine.EngineView;
import io.samphiregauge.schema.order.EngineRole;

/**
 * Predicts the latency of each phase of a request on an engine, and the delay that the request
 * causes to other work there.
 */
final class LatencyModel {
  private static final double MS_PER_S = 1_000;

  /** Throughput of a KV cache transfer between engines; assumes a slow link of 50,000 tokens/s. */
  private static final double KV_TOKENS_PER_MS = 50;

  private LatencyModel() {}

  /** Time until the engine has prefilled the prompts that are queued now. */
  static double queueMs(EngineView engine) {
    return engine.queuedPrefillTokens() / prefillTokensPerMs(engine);
  }

  static double uncachedTokens(EngineView engine, PlacementRequest request) {
    return Math.max(1, request.promptTokens() - engine.cachedTokens());
  }

  /**
   * Time until the engine has generated the first token: the network hop to the engine, the prefill
   * of the queued prompts and the prefill of the uncached prompt. Excludes the hop back.
   */
  static double timeToFirstTokenMs(EngineView engine, PlacementRequest request) {
    double tokens = engine.queuedPrefillTokens() + uncachedTokens(engine, request);
    return engine.hopMs() + tokens / prefillTokensPerMs(engine);
  }

  /** Delay that the prefill causes to the sequences that decode on the engine, summed over them. */
  static double prefillImpactMs(EngineView engine, PlacementRequest request) {
    double work = uncachedTokens(engine, request) * engine.profile().prefillMsPerToken();
    return work * Math.min(engine.sequences(), engine.profile().slots());
  }

  static double transferMs(PlacementRequest request) {
    return request.promptTokens() / KV_TOKENS_PER_MS;
  }

  /**
   * Time to decode all output tokens with one more sequence on the engine, including the wait for a
   * slot and for KV cache memory.
   */
  static double decodeMs(EngineView engine, PlacementRequest request) {
    return slotWaitMs(engine, request) + request.outputTokens() * stepMs(engine, request);
  }

  /** Delay that one more sequence causes to the other decoding sequences, summed over them. */
  static double decodeImpactMs(EngineView engine, PlacementRequest request) {
    EngineProfile profile = engine.profile();
    double others = Math.min(engine.sequences(), profile.slots());
    return request.outputTokens() * profile.stepPerSequenceMs() * others;
  }

  static double stepMs(EngineView engine, PlacementRequest request) {
    EngineProfile profile = engine.profile();
    double sequences = Math.min(engine.sequences() + 1, profile.slots());
    double step = profile.stepBaseMs() + profile.stepPerSequenceMs() * sequences;
    return engine.role() == EngineRole.MIXED
        ? step + prefillStepShare(engine, request, step) * chunkMs(profile)
        : step;
  }

  private static double prefillStepShare(EngineView engine, PlacementRequest request, double step) {
    double backlogMs = queueMs(engine);
    double decodeMs = Math.max(1, request.outputTokens() * step);
    return Math.min(1, Math.max(engine.prefillBusy(), backlogMs / decodeMs));
  }

  private static double slotWaitMs(EngineView engine, PlacementRequest request) {
    double excessSequences = engine.sequences() + 1 - engine.profile().slots();
    double kvDeficitTokens =
        request.promptTokens() + request.outputTokens() - engine.freeKvTokens();
    double sequenceMs = request.outputTokens() * engine.profile().decodeMsPerToken();
    double slotWait = excessSequences > 0 ? excessSequences * sequenceMs : 0;
    return slotWait + (kvDeficitTokens > 0 ? sequenceMs * engine.profile().slots() : 0);
  }

  private static double chunkMs(EngineProfile profile) {
    return profile.mixedBudgetTokens() * profile.prefillMsPerToken();
  }

  private static double prefillTokensPerMs(EngineView engine) {
    EngineProfile profile = engine.profile();
    if (engine.role() == EngineRole.PREFILL) {
      double perStep = profile.prefillBudgetTokens();
      return perStep / (profile.stepBaseMs() + perStep * profile.prefillMsPerToken());
    }
    double decoding = Math.min(engine.sequences(), profile.slots()) * profile.stepPerSequenceMs();
    double step = profile.stepBaseMs() + decoding + chunkMs(profile);
    return Math.min(
        profile.mixedBudgetTokens() / step, profile.prefillTokensPerSecond() / MS_PER_S);
  }
}
