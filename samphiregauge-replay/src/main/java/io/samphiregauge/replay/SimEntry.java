package io.samphiregauge.replay;

import io.samphiregauge.core.RandomSource;
import io.samphiregauge.core.engine.EngineProfile;
import io.samphiregauge.core.engine.EngineRegistry;
import io.samphiregauge.core.engine.PrefixIndex;
import io.samphiregauge.core.route.OutputLengthPredictor;
import io.samphiregauge.core.route.Placement;
import io.samphiregauge.core.route.PlacementRequest;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * State of a simulated entry that does not depend on queueing: its view of the engines, and the
 * placement of requests by that view.
 */
final class SimEntry {
  /** Maximum number of prefixes in the index of cached prefixes. */
  private static final int MAX_PREFIXES = 10_000;

  final int index;
  final String failureDomain;
  final EngineRegistry registry;
  final OutputLengthPredictor outputLengths = new OutputLengthPredictor();
  private final int entryCount;
  private final PolicySet policySet;
  private final VirtualClock clock;
  private final RandomSource random;
  private boolean killed;

  SimEntry(
      int index,
      String failureDomain,
      int entryCount,
      PolicySet policySet,
      VirtualClock clock,
      long seed) {
    this.entryCount = entryCount;
    this.index = index;
    this.failureDomain = failureDomain;
    this.policySet = policySet;
    this.clock = clock;
    this.registry = new EngineRegistry(new PrefixIndex(MAX_PREFIXES), policySet.correctReports());
    SplittableRandom generator = new SplittableRandom(seed * 31 + index);
    this.random = generator::nextLong;
  }

  boolean killed() {
    return killed;
  }

  void kill() {
    killed = true;
  }

  /** Places a request by this entry's current view of the engines; empty if none is suitable. */
  Optional<Placement> place(SimJob job) {
    PlacementRequest request =
        new PlacementRequest(
            job.request.getPromptTokens() + job.emittedTokens,
            Math.max(1, job.expectedOutputTokens - job.emittedTokens),
            failureDomain,
            job.crashCount > 0,
            entryCount);
    return policySet
        .placementPolicy()
        .place(
            request,
            registry.candidates(job.request.getPrefix(), job.request.getPrefixTokens(), random),
            random);
  }

  /** Records in this entry's view of the engines that a request was sent to them. */
  void recordSent(SimJob job, Placement placement) {
    String engine = placement.engine().name();
    double uncachedTokens =
        Math.max(
            1,
            job.request.getPromptTokens() + job.emittedTokens - placement.engine().cachedTokens());
    job.prefillWork = registry.recordSent(engine, uncachedTokens, job.kvTokens(), clock.nowMs());
    job.decodeWork =
        placement
            .decoder()
            .flatMap(d -> registry.recordSent(d.name(), 0, job.kvTokens(), clock.nowMs()));
    registry.recordSentPrefix(engine, job.request.getPrefix());
  }

  /**
   * Records that the prefill of a request has completed. For a split request, this finishes the
   * work of the prefill engine.
   */
  void recordPrefilled(SimJob job) {
    job.prefillWork.ifPresent(
        work -> {
          if (job.decodeWork.isPresent()) {
            registry.recordFinished(work, clock.nowMs());
          } else {
            registry.recordPrefilled(work, clock.nowMs());
          }
        });
  }

  /** Records that no engine works on a request any more. */
  void recordFinished(SimJob job) {
    job.prefillWork.ifPresent(work -> registry.recordFinished(work, clock.nowMs()));
    job.decodeWork.ifPresent(work -> registry.recordFinished(work, clock.nowMs()));
    job.prefillWork = Optional.empty();
    job.decodeWork = Optional.empty();
  }

  /** Adds a serving engine to this entry's view of the engines. */
  void addEngine(EngineProfile profile, SimEngine engine, int kvTokens, double hopMs) {
    registry.add(profile, engine.role(), kvTokens, hopMs);
  }
}
