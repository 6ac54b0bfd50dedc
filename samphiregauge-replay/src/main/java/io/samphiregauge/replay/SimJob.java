package io.samphiregauge.replay;

import io.samphiregauge.core.engine.EngineRegistry;
import io.samphiregauge.schema.replay.TraceRequest;
import java.util.Optional;

/** A request on its way through the simulated system. */
final class SimJob {
  /** What became of a request. */
  enum Outcome {
    GOOD,
    LATE,
    REFUSED,
    FAILED
  }

  /** A request that has been on this many engines when they crashed is not run again. */
  static final int MAX_CRASHES = 2;

  final TraceRequest request;
  final int index;
  final int entryIndex;

  double expectedOutputTokens;
  double estimatedCost;
  int emittedTokens;
  int remainingPrefillTokens;
  boolean prefillStarted;
  long computedPrefillTokens;
  long firstTokenUs = -1;
  long lastTokenUs = -1;
  int dispatches;
  int crashCount;
  boolean interruptedByReclaim;
  boolean ranOnReclaimable;
  double reclaimableEngineMs;
  double engineMs;
  Optional<SimEngine> engine = Optional.empty();
  Optional<SimEngine> decodeEngine = Optional.empty();
  Optional<EngineRegistry.SentWork> prefillWork = Optional.empty();
  Optional<EngineRegistry.SentWork> decodeWork = Optional.empty();
  Optional<Outcome> outcome = Optional.empty();

  SimJob(TraceRequest request, int index, int entryIndex) {
    this.request = request;
    this.index = index;
    this.entryIndex = entryIndex;
  }

  boolean hasOutcome() {
    return outcome.isPresent();
  }

  long deadlineUs() {
    return (request.getAtMs() + request.getDeadlineMs()) * VirtualClock.US_PER_MS;
  }

  int kvTokens() {
    return request.getPromptTokens() + request.getOutputTokens();
  }

  /** Equal for a request that its caller sends again. */
  String fingerprint() {
    return String.join(
        "/",
        request.getTeam(),
        request.getRoute(),
        request.getPrefix(),
        String.valueOf(request.getPromptTokens()),
        String.valueOf(request.getOutputTokens()));
  }

  boolean crashesEngines() {
    return request.getRoute().equals(RequestKind.CRASH.route());
  }
}
