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
public final class EngineBook {
  /** Bounds the work of one decision, whatever the size of the fleet. */
  public static final int MAX_CANDIDATES = 16;

  private static final int MAX_PREFIX_CANDIDATES = 4;

  /** Work that this entry has sent to an engine; a handle for later changes. */
  public static final class Sent {
    private final EngineState engine;
    private final double prefillTokens;
    private final double kvTokens;
    private boolean decoding;
    private boolean finished;

    private Sent(EngineState engine, double prefillTokens, double kvTokens) {
      this.engine = engine;
      this.prefillTokens = prefillTokens;
      this.kvTokens = kvTokens;
    }
  }

  private final Map<String, Integer> positions = new HashMap<>();
  private final List<EngineState> engines = new ArrayList<>();
  private final PrefixIndex prefixes;
  private final boolean corrected;

  /**
   * Makes a book without engines.
   *
   * @param prefixes index of the prefixes that engines hold
   * @param corrected whether reports are corrected by what this entry sent; false only to measure
   *     what the correction is worth
   */
  public EngineBook(PrefixIndex prefixes, boolean corrected) {
    this.prefixes = prefixes;
    this.corrected = corrected;
  }

  /**
   * Adds an engine, which takes work at once.
   *
   * @param profile what is known of it
   * @param role its role
   * @param freeKvTokens its free KV cache
   * @param hopMs one-way delay to it
   */
  public void join(EngineProfile profile, EngineRole role, double freeKvTokens, double hopMs) {
    leave(profile.name());
    EngineReport empty =
        new EngineReport(profile.name(), Long.MIN_VALUE, role, true, 0, 0, freeKvTokens);
    positions.put(profile.name(), engines.size());
    engines.add(new EngineState(profile, hopMs, empty));
  }

  /** Removes an engine that is gone. */
  public void leave(String engine) {
    Integer position = positions.remove(engine);
    if (position == null) {
      return;
    }
    prefixes.forget(engine);
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
  public void exclude(String engine, boolean excluded) {
    state(engine).ifPresent(state -> state.exclude(excluded));
  }

  /** Takes a load report; an older one than the last is ignored. */
  public void report(EngineReport report) {
    state(report.engine()).ifPresent(state -> state.take(report));
  }

  /** Takes a cache event. */
  public void cacheEvent(PrefixIndex.CacheEvent event) {
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
  public Optional<Sent> sent(String engine, double prefillTokens, double kvTokens, long nowMs) {
    return state(engine)
        .map(
            state -> {
              Sent sent = new Sent(state, prefillTokens, kvTokens);
              sent.decoding = prefillTokens == 0;
              state.change(nowMs, prefillTokens, sent.decoding ? 1 : 0, kvTokens);
              return sent;
            });
  }

  /** Notes that the engine has computed the prompt and decodes now. */
  public void prefilled(Sent sent, long nowMs) {
    if (!sent.decoding && !sent.finished) {
      sent.decoding = true;
      sent.engine.change(nowMs, -sent.prefillTokens, 1, 0);
    }
  }

  /** Notes that the engine has no more work with a request, for whatever reason. */
  public void finished(Sent sent, long nowMs) {
    if (sent.finished) {
      return;
    }
    sent.finished = true;
    double prefill = sent.decoding ? 0 : -sent.prefillTokens;
    sent.engine.change(nowMs, prefill, sent.decoding ? -1 : 0, -sent.kvTokens);
  }

  /**
   * Notes that a request with this prefix went to an engine.
   *
   * @param engine name of the engine
   * @param prefix digest of the prefix
   */
  public void sentPrefix(String engine, String prefix) {
    prefixes.sent(engine, prefix);
  }

  /** Returns all usable engines, without knowledge of prefixes. */
  public List<EngineView> all() {
    return engines.stream()
        .filter(EngineState::usable)
        .map(state -> state.view(0, corrected))
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
      engines.forEach(state -> add(chosen, state, prefix, prefixTokens));
      return chosen;
    }
    int[] taken = new int[MAX_CANDIDATES];
    int count = takeHolders(taken, prefix);
    while (count < MAX_CANDIDATES) {
      int next = random.nextIndex(engines.size());
      taken[count] = contains(taken, count, next) ? afterTaken(taken, count, next) : next;
      count++;
    }
    for (int position : taken) {
      add(chosen, engines.get(position), prefix, prefixTokens);
    }
    return chosen;
  }

  private int takeHolders(int[] taken, String prefix) {
    int count = 0;
    for (String holder : prefixes.holders(prefix)) {
      Integer position = positions.get(holder);
      if (position != null && count < MAX_PREFIX_CANDIDATES) {
        taken[count] = position;
        count++;
      }
    }
    return count;
  }

  private int afterTaken(int[] taken, int count, int start) {
    int next = start;
    while (contains(taken, count, next)) {
      next = (next + 1) % engines.size();
    }
    return next;
  }

  private static boolean contains(int[] taken, int count, int position) {
    for (int i = 0; i < count; i++) {
      if (taken[i] == position) {
        return true;
      }
    }
    return false;
  }

  private void add(List<EngineView> chosen, EngineState state, String prefix, int prefixTokens) {
    if (state.usable()) {
      double confidence = prefixes.confidence(state.profile().name(), prefix);
      chosen.add(state.view(confidence * prefixTokens, corrected));
    }
  }

  private Optional<EngineState> state(String engine) {
    return Optional.ofNullable(positions.get(engine)).map(engines::get);
  }
}
