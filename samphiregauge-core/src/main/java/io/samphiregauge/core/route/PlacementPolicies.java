package io.samphiregauge.core.route;

import io.samphiregauge.core.RandomSource;
import io.samphiregauge.core.engine.EngineView;
import io.samphiregauge.schema.order.EngineRole;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;

/** Registry of placement policies by name, for the setting {@code routingPolicy}. */
public final class PlacementPolicies {
  /** Name of the policy that minimizes predicted latency; the one used in production. */
  public static final String PREDICTED = "predicted";

  /** Minimum relative gain of a split, because the KV cache transfer may be delayed. */
  private static final double SPLIT_MARGIN = 0.05;

  /**
   * Sampling temperature per square root of the number of entries, relative to the best score.
   * Entries that see the same report would all choose the same engine (herding), so each samples
   * among engines with similar scores. The temperature is 8% of the best score at 8 entries and 70%
   * at 560.
   */
  private static final double TEMPERATURE_PER_SQRT_ENTRIES = 0.03;

  private static final Map<String, PlacementPolicy> BY_NAME =
      new TreeMap<>(
          Map.of(
              PREDICTED,
              PlacementPolicies::predicted,
              "least_load",
              PlacementPolicies::leastLoad,
              "two_choices",
              PlacementPolicies::twoChoices));

  private PlacementPolicies() {}

  /**
   * Returns the policy with a name.
   *
   * @param name {@code predicted}, {@code least_load} or {@code two_choices}
   * @return the policy, or empty for an unknown name
   */
  public static Optional<PlacementPolicy> named(String name) {
    return Optional.ofNullable(BY_NAME.get(name));
  }

  /**
   * Chooses the placement with the lowest sum of the expected latency of the request and the delay
   * that it causes to other work.
   *
   * <p>The costs of prefill and decode are independent, so the best split consists of the best
   * engine for each, and no pairs of engines need to be compared.
   */
  static Optional<Placement> predicted(
      PlacementRequest request, List<EngineView> candidates, RandomSource random) {
    Predicate<EngineView> available = e -> !request.exclusive() || e.sequences() == 0;
    ScoreSampler sampler =
        new ScoreSampler(
            candidates, TEMPERATURE_PER_SQRT_ENTRIES * Math.sqrt(request.entries()), random);
    Optional<EngineView> whole =
        sampler.choose(e -> available.test(e) && isMixed(e), e -> wholeScore(e, request));
    Optional<EngineView> prefill =
        sampler.choose(e -> available.test(e) && !isDecode(e), e -> prefillScore(e, request));
    Optional<EngineView> decode =
        sampler.choose(e -> available.test(e) && !isPrefill(e), e -> decodeScore(e, request));
    Optional<Placement> unsplit = whole.map(e -> whole(e, request, candidates.size(), "whole"));
    if (prefill.isEmpty() || decode.isEmpty() || prefill.equals(decode)) {
      return unsplit;
    }
    double splitScore =
        prefillScore(prefill.get(), request)
            + LatencyModel.transferMs(request)
            + decodeScore(decode.get(), request);
    boolean splits =
        whole.isEmpty() || splitScore < (1 - SPLIT_MARGIN) * wholeScore(whole.get(), request);
    return splits
        ? Optional.of(split(prefill.get(), decode.get(), request, candidates.size(), "split"))
        : unsplit;
  }

  /** Chooses the engine, or the pair of engines, with the lowest load. */
  static Optional<Placement> leastLoad(
      PlacementRequest request, List<EngineView> candidates, RandomSource random) {
    Optional<EngineView> prefill =
        new ScoreSampler(candidates, 0, random)
            .choose(e -> !isDecode(e), EngineView::queuedPrefillTokens);
    Optional<EngineView> decode =
        new ScoreSampler(candidates, 0, random).choose(e -> !isPrefill(e), EngineView::sequences);
    Optional<EngineView> mixed =
        new ScoreSampler(candidates, 0, random)
            .choose(PlacementPolicies::isMixed, PlacementPolicies::loadMs);
    if (mixed.isPresent()) {
      return mixed.map(e -> whole(e, request, candidates.size(), "least_load"));
    }
    return prefill.flatMap(
        p -> decode.map(d -> split(p, d, request, candidates.size(), "least_load")));
  }

  /** Chooses the less loaded of two random engines. */
  static Optional<Placement> twoChoices(
      PlacementRequest request, List<EngineView> candidates, RandomSource random) {
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    EngineView first = candidates.get(random.nextIndex(candidates.size()));
    EngineView second = candidates.get(random.nextIndex(candidates.size()));
    return leastLoad(request, List.of(first, second), random);
  }

  private static double loadMs(EngineView engine) {
    return engine.profile().workMs(engine.queuedPrefillTokens(), 0)
        + engine.sequences() * engine.profile().stepPerSequenceMs();
  }

  private static double wholeScore(EngineView engine, PlacementRequest request) {
    return prefillScore(engine, request) + decodeScore(engine, request);
  }

  private static double prefillScore(EngineView engine, PlacementRequest request) {
    return LatencyModel.timeToFirstTokenMs(engine, request)
        + LatencyModel.prefillImpactMs(engine, request);
  }

  private static double decodeScore(EngineView engine, PlacementRequest request) {
    return LatencyModel.decodeMs(engine, request) + LatencyModel.decodeImpactMs(engine, request);
  }

  private static Placement whole(
      EngineView engine, PlacementRequest request, int considered, String reason) {
    double first = LatencyModel.timeToFirstTokenMs(engine, request) + engine.hopMs();
    double total = first + LatencyModel.decodeMs(engine, request);
    return new Placement(
        engine, Optional.empty(), LatencyModel.queueMs(engine), first, total, considered, reason);
  }

  private static Placement split(
      EngineView prefill,
      EngineView decode,
      PlacementRequest request,
      int considered,
      String reason) {
    double first = LatencyModel.timeToFirstTokenMs(prefill, request) + prefill.hopMs();
    double total =
        first + LatencyModel.transferMs(request) + LatencyModel.decodeMs(decode, request);
    return new Placement(
        prefill,
        Optional.of(decode),
        LatencyModel.queueMs(prefill),
        first,
        total,
        considered,
        reason);
  }

  private static boolean isMixed(EngineView engine) {
    return engine.role() == EngineRole.MIXED;
  }

  private static boolean isPrefill(EngineView engine) {
    return engine.role() == EngineRole.PREFILL;
  }

  private static boolean isDecode(EngineView engine) {
    return engine.role() == EngineRole.DECODE;
  }
}
