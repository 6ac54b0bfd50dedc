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

/** What all simulated entries do, whether they queue or not: keep their view and send requests. */
final class SimEntry {
  private static final int MAX_PREFIXES = 10_000;

  final int number;
  final String failureDomain;
  final EngineRegistry book;
  final OutputLengthPredictor lengths = new OutputLengthPredictor();
  private final int entries;
  private final PolicySet policy;
  private final VirtualTime time;
  private final RandomSource random;
  private boolean dead;

  SimEntry(
      int number,
      String failureDomain,
      int entries,
      PolicySet policy,
      VirtualTime time,
      long seed) {
    this.entries = entries;
    this.number = number;
    this.failureDomain = failureDomain;
    this.policy = policy;
    this.time = time;
    this.book = new EngineRegistry(new PrefixIndex(MAX_PREFIXES), policy.corrected());
    SplittableRandom source = new SplittableRandom(seed * 31 + number);
    this.random = source::nextLong;
  }

  boolean dead() {
    return dead;
  }

  void kill() {
    dead = true;
  }

  Optional<Placement> place(SimJob job) {
    PlacementRequest request =
        new PlacementRequest(
            job.request.getPromptTokens() + job.emitted,
            Math.max(1, job.expectedOutput - job.emitted),
            failureDomain,
            job.crashes > 0,
            entries);
    return policy
        .placement()
        .place(
            request,
            book.candidates(job.request.getPrefix(), job.request.getPrefixTokens(), random),
            random);
  }

  /** Notes in the view that a request goes to its engines. */
  void noteSent(SimJob job, Placement placement) {
    String engine = placement.engine().name();
    double uncached =
        Math.max(
            1, job.request.getPromptTokens() + job.emitted - placement.engine().cachedTokens());
    job.sentPrefill = book.recordSent(engine, uncached, job.kvTokens(), time.nowMs());
    job.sentDecode =
        placement
            .decoder()
            .flatMap(d -> book.recordSent(d.name(), 0, job.kvTokens(), time.nowMs()));
    book.recordSentPrefix(engine, job.request.getPrefix());
  }

  void notePrefilled(SimJob job) {
    job.sentPrefill.ifPresent(
        sent -> {
          if (job.sentDecode.isPresent()) {
            book.recordFinished(sent, time.nowMs());
          } else {
            book.recordPrefilled(sent, time.nowMs());
          }
        });
  }

  void noteEnded(SimJob job) {
    job.sentPrefill.ifPresent(sent -> book.recordFinished(sent, time.nowMs()));
    job.sentDecode.ifPresent(sent -> book.recordFinished(sent, time.nowMs()));
    job.sentPrefill = Optional.empty();
    job.sentDecode = Optional.empty();
  }

  void join(EngineProfile profile, SimEngine engine, int kvTokens, double hopMs) {
    book.add(profile, engine.role(), kvTokens, hopMs);
  }
}
