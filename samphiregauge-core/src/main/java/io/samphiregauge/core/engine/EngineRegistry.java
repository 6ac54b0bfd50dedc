package io.samphiregauge.core.engine;

import io.samphiregauge.core.RandomSource;
import io.samphiregauge.schema.order.EngineRole;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Registry of the engines of one model, as seen by one entry. Delayed load reports are corrected by
 * the work that the entry sent and saw finish since the report. Not thread-safe.
 *
 * <pre>{@code
 * registry.applyReport(report);
 * List<EngineView> candidates = registry.candidates(prefix, prefixTokens, random);
 * registry
 *     .recordSent(engine, promptTokens, kvTokens, nowMs)
 *     .ifPresent(
 *         work -> {
 *           registry.recordPrefilled(work, nowMs);
 *           registry.recordFinished(work, nowMs);
 *         });
 * }</pre>
 */
public final class EngineRegistry {
  /** Maximum number of engines compared per request, which bounds the time of a decision. */
  public static final int MAX_CANDIDATES = 16;

  private static final int MAX_PREFIX_CANDIDATES = 4;

  /** Handle of work that this entry has sent to an engine. */
  public static final class SentWork {
    private final EngineState engine;
    private final double prefillTokens;
    private final double kvTokens;
    private boolean decoding;
    private boolean finished;

    private SentWork(EngineState engine, double prefillTokens, double kvTokens) {
      this.engine = engine;
      this.prefillTokens = prefillTokens;
      this.kvTokens = kvTokens;
    }
  }

  private final Map<String, Integer> positions = new HashMap<>();
  private final List<EngineState> engines = new ArrayList<>();
  private final PrefixIndex prefixes;
  private final boolean correctReports;

  /**
   * Creates a registry without engines.
   *
   * @param prefixes index of the prefixes that engines cache
   * @param correctReports whether reports are corrected by the work that this entry sent; false
   *     only to measure the effect of the correction
   */
  public EngineRegistry(PrefixIndex prefixes, boolean correctReports) {
    this.prefixes = prefixes;
    this.correctReports = correctReports;
  }

  /**
   * Adds an engine that accepts work immediately, or replaces the engine of the same name.
   *
   * @param profile static properties of the engine
   * @param role role of the engine
   * @param freeKvTokens free KV cache in tokens
   * @param hopMs one-way network latency to the engine
   */
  public void add(EngineProfile profile, EngineRole role, double freeKvTokens, double hopMs) {
    remove(profile.name());
    EngineReport initialReport =
        new EngineReport(profile.name(), Long.MIN_VALUE, role, true, 0, 0, freeKvTokens);
    positions.put(profile.name(), engines.size());
    engines.add(new EngineState(profile, hopMs, initialReport));
  }

  /** Removes an engine and its prefixes; an unknown name has no effect. */
  public void remove(String engine) {
    Integer position = positions.remove(engine);
    if (position == null) {
      return;
    }
    prefixes.remove(engine);
    EngineState last = engines.remove(engines.size() - 1);
    if (position < engines.size()) {
      engines.set(position, last);
      positions.put(last.profile().name(), position);
    }
  }

  /**
   * Excludes an engine from new work, or includes it again.
   *
   * @param engine name of the engine
   * @param excluded true while the engine departs, drains or fails
   */
  public void setExcluded(String engine, boolean excluded) {
    state(engine).ifPresent(state -> state.setExcluded(excluded));
  }

  /** Applies a load report; a report older than the last one is ignored. */
  public void applyReport(EngineReport report) {
    state(report.engine()).ifPresent(state -> state.applyReport(report));
  }

  /** Applies an event of an engine's prefix cache. */
  public void applyCacheEvent(PrefixIndex.CacheEvent event) {
    prefixes.apply(event);
  }

  /**
   * Records work sent to an engine.
   *
   * @param engine name of the engine
   * @param prefillTokens prompt tokens to compute; 0 if the engine only decodes
   * @param kvTokens KV cache that the request will occupy, in tokens
   * @param nowMs time in milliseconds
   * @return a handle, or empty for an unknown engine
   */
  public Optional<SentWork> recordSent(
      String engine, double prefillTokens, double kvTokens, long nowMs) {
    return state(engine)
        .map(
            state -> {
              SentWork work = new SentWork(state, prefillTokens, kvTokens);
              work.decoding = prefillTokens == 0;
              state.recordChange(nowMs, prefillTokens, work.decoding ? 1 : 0, kvTokens);
              return work;
            });
  }

  /** Records that the engine has prefilled the prompt and started to decode. */
  public void recordPrefilled(SentWork work, long nowMs) {
    if (!work.decoding && !work.finished) {
      work.decoding = true;
      work.engine.recordChange(nowMs, -work.prefillTokens, 1, 0);
    }
  }

  /**
   * Records that the engine no longer works on a request, whether finished, failed or cancelled.
   */
  public void recordFinished(SentWork work, long nowMs) {
    if (work.finished) {
      return;
    }
    work.finished = true;
    double prefillTokens = work.decoding ? 0 : -work.prefillTokens;
    work.engine.recordChange(nowMs, prefillTokens, work.decoding ? -1 : 0, -work.kvTokens);
  }

  /**
   * Records that a request with this prefix was sent to an engine.
   *
   * @param engine name of the engine
   * @param prefix digest of the prefix
   */
  public void recordSentPrefix(String engine, String prefix) {
    prefixes.recordSent(engine, prefix);
  }

  /** Returns views of all usable engines, without cached tokens. */
  public List<EngineView> usableEngines() {
    return engines.stream()
        .filter(EngineState::usable)
        .map(state -> state.view(0, correctReports))
        .toList();
  }

  /**
   * Selects the engines to compare for a request: engines that cache its prefix first, then random
   * ones, at most {@link #MAX_CANDIDATES}.
   *
   * @param prefix digest of the prefix
   * @param prefixTokens length of the prefix
   * @param random samples the engines if there are too many
   * @return views of usable engines
   */
  public List<EngineView> candidates(String prefix, int prefixTokens, RandomSource random) {
    List<EngineView> chosen = new ArrayList<>(MAX_CANDIDATES);
    if (engines.size() <= MAX_CANDIDATES) {
      engines.forEach(state -> addView(chosen, state, prefix, prefixTokens));
      return chosen;
    }
    int[] chosenPositions = new int[MAX_CANDIDATES];
    int count = chooseHolders(chosenPositions, prefix);
    while (count < MAX_CANDIDATES) {
      int next = random.nextIndex(engines.size());
      chosenPositions[count] =
          contains(chosenPositions, count, next)
              ? nextUnchosen(chosenPositions, count, next)
              : next;
      count++;
    }
    for (int position : chosenPositions) {
      addView(chosen, engines.get(position), prefix, prefixTokens);
    }
    return chosen;
  }

  private int chooseHolders(int[] chosenPositions, String prefix) {
    int count = 0;
    for (String holder : prefixes.holders(prefix)) {
      Integer position = positions.get(holder);
      if (position != null && count < MAX_PREFIX_CANDIDATES) {
        chosenPositions[count] = position;
        count++;
      }
    }
    return count;
  }

  private int nextUnchosen(int[] chosenPositions, int count, int start) {
    int next = start;
    while (contains(chosenPositions, count, next)) {
      next = (next + 1) % engines.size();
    }
    return next;
  }

  private static boolean contains(int[] positions, int count, int position) {
    for (int i = 0; i < count; i++) {
      if (positions[i] == position) {
        return true;
      }
    }
    return false;
  }

  private void addView(
      List<EngineView> chosen, EngineState state, String prefix, int prefixTokens) {
    if (state.usable()) {
      double confidence = prefixes.confidence(state.profile().name(), prefix);
      chosen.add(state.view(confidence * prefixTokens, correctReports));
    }
  }

  private Optional<EngineState> state(String engine) {
    return Optional.ofNullable(positions.get(engine)).map(engines::get);
  }
}
