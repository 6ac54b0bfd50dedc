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
  final int number;
  final int entry;

  double expectedOutput;
  double chargedCost;
  int emitted;
  int prefillLeft;
  boolean prefillStarted;
  long computedPrefill;
  long firstTokenUs = -1;
  long lastTokenUs = -1;
  int dispatches;
  int crashes;
  boolean lostInReclaim;
  boolean ranOnReclaimable;
  double engineMsReclaimable;
  double engineMs;
  Optional<SimEngine> engine = Optional.empty();
  Optional<SimEngine> decoder = Optional.empty();
  Optional<EngineRegistry.SentWork> sentPrefill = Optional.empty();
  Optional<EngineRegistry.SentWork> sentDecode = Optional.empty();
  Optional<Outcome> outcome = Optional.empty();

  SimJob(TraceRequest request, int number, int entry) {
    this.request = request;
    this.number = number;
    this.entry = entry;
  }

  boolean ended() {
    return outcome.isPresent();
  }

  long deadlineUs() {
    return (request.getAtMs() + request.getDeadlineMs()) * VirtualTime.US_PER_MS;
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
