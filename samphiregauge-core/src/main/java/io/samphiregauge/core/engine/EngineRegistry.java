package io.samphiregauge.core.engine;

import io.samphiregauge.core.RandomSource;
import io.samphiregauge.schema.order.EngineRole;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The engines of one model as one entry sees them: lagging reports, corrected by what the entry has
 * sent and seen finished since. Used by one thread.
 *
 * <pre>{@code
 * book.report(report);
 * List<EngineView> candidates = book.candidates(prefix, prefixTokens, random);
 * EngineBook.Sent sent = book.sent(engine, promptTokens, kvTokens, nowMs);
 * book.prefilled(sent, nowMs);
 * book.finished(sent, nowMs);
 * }</pre>
 */
public final class EngineRegistry {
  /** Bounds the work of one decision, whatever the size of the fleet. */
  public static final int MAX_CANDIDATES = 16;

  private static final int MAX_PREFIX_CANDIDATES = 4;

  /** Work that this entry has sent to an engine; a handle for later changes. */
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
   * Makes a book without engines.
   *
   * @param prefixes index of the prefixes that engines hold
   * @param correctReports whether reports are corrected by what this entry sent; false only to
   *     measure what the correction is worth
   */
  public EngineRegistry(PrefixIndex prefixes, boolean correctReports) {
    this.prefixes = prefixes;
    this.correctReports = correctReports;
  }

  /**
   * Adds an engine, which takes work at once.
   *
   * @param profile what is known of it
   * @param role its role
   * @param freeKvTokens its free KV cache
   * @param hopMs one-way delay to it
   */
  public void add(EngineProfile profile, EngineRole role, double freeKvTokens, double hopMs) {
    remove(profile.name());
    EngineReport initialReport =
        new EngineReport(profile.name(), Long.MIN_VALUE, role, true, 0, 0, freeKvTokens);
    positions.put(profile.name(), engines.size());
    engines.add(new EngineState(profile, hopMs, initialReport));
  }

  /** Removes an engine that is gone. */
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
   * @param excluded true while it leaves, drains or fails
   */
  public void setExcluded(String engine, boolean excluded) {
    state(engine).ifPresent(state -> state.setExcluded(excluded));
  }

  /** Takes a load report; an older one than the last is ignored. */
  public void applyReport(EngineReport report) {
    state(report.engine()).ifPresent(state -> state.applyReport(report));
  }

  /** Takes a cache event. */
  public void applyCacheEvent(PrefixIndex.CacheEvent event) {
    prefixes.apply(event);
  }

  /**
   * Notes work sent to an engine.
   *
   * @param engine name of the engine
   * @param prefillTokens prompt tokens that it has to compute; 0 where it only decodes
   * @param kvTokens KV cache that the request will take
   * @param nowMs time
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

  /** Notes that the engine has computed the prompt and decodes now. */
  public void recordPrefilled(SentWork work, long nowMs) {
    if (!work.decoding && !work.finished) {
      work.decoding = true;
      work.engine.recordChange(nowMs, -work.prefillTokens, 1, 0);
    }
  }

  /** Notes that the engine has no more work with a request, for whatever reason. */
  public void recordFinished(SentWork work, long nowMs) {
    if (work.finished) {
      return;
    }
    work.finished = true;
    double prefillTokens = work.decoding ? 0 : -work.prefillTokens;
    work.engine.recordChange(nowMs, prefillTokens, work.decoding ? -1 : 0, -work.kvTokens);
  }

  /**
   * Notes that a request with this prefix went to an engine.
   *
   * @param engine name of the engine
   * @param prefix digest of the prefix
   */
  public void recordSentPrefix(String engine, String prefix) {
    prefixes.recordSent(engine, prefix);
  }

  /** Returns all usable engines, without knowledge of prefixes. */
  public List<EngineView> usableEngines() {
    return engines.stream()
        .filter(EngineState::usable)
        .map(state -> state.view(0, correctReports))
        .toList();
  }

  /**
   * Picks the engines to compare for a request: holders of its prefix first, then others at random,
   * at most 16.
   *
   * @param prefix digest of the prefix
   * @param prefixTokens length of the prefix
   * @param random picks among many engines
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
