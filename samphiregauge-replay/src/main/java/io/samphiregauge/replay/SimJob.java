package io.samphiregauge.replay;

import io.samphiregauge.core.engine.EngineRegistry;
import io.samphiregauge.schema.replay.TraceRequest;
import java.util.Optional;

/** Mutable state of one request in the simulation. */
final class SimJob {
  /** Final outcome of a request. */
  enum Outcome {
    /** The response was complete before the deadline. */
    GOOD,
    /** The request was admitted but missed its deadline. */
    LATE,
    /** The request was refused before it ran. */
    REFUSED,
    /** The request was admitted but failed. */
    FAILED
  }

  /** Number of engine crashes after which a request that ran on the engines is not run again. */
  static final int MAX_CRASHES = 2;

  final TraceRequest request;
  final int index;
  final int entryIndex;

  double expectedOutputTokens;

  /** Cost submitted to the scheduler, in milliseconds of engine time. */
  double estimatedCost;

  int emittedTokens;
  int remainingPrefillTokens;
  boolean prefillStarted;
  long computedPrefillTokens;

  /** Time of the first token; -1 before it. */
  long firstTokenUs = -1;

  /** Time of the latest token; -1 before the first. */
  long lastTokenUs = -1;

  /** Number of times that an engine accepted the request. */
  int dispatches;

  /** Number of engine crashes attributed to the request. */
  int crashCount;

  boolean interruptedByReclaim;
  boolean ranOnReclaimable;
  double reclaimableEngineMs;
  double engineMs;

  /** Engine that works on the request: the prefill engine, then the decode engine. */
  Optional<SimEngine> engine = Optional.empty();

  /** Decode engine of a split request. */
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

  /** Returns the deadline in microseconds of virtual time. */
  long deadlineUs() {
    return (request.getAtMs() + request.getDeadlineMs()) * VirtualClock.US_PER_MS;
  }

  /** Returns the KV cache that the complete request needs, in tokens. */
  int kvTokens() {
    return request.getPromptTokens() + request.getOutputTokens();
  }

  /** Returns an identifier that is equal for retries of the same request by its caller. */
  String fingerprint() {
    return String.join(
        "/",
        request.getTeam(),
        request.getRoute(),
        request.getPrefix(),
        String.valueOf(request.getPromptTokens()),
        String.valueOf(request.getOutputTokens()));
  }

  /** Returns whether the request crashes each engine that decodes it. */
  boolean crashesEngines() {
    return request.getRoute().equals(RequestProfile.CRASH.route());
  }
}
