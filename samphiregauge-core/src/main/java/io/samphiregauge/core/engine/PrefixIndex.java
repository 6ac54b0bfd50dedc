package io.samphiregauge.core.engine;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Index of the engines that cache a prompt prefix, built from cache events that may be delayed or
 * lost.
 *
 * <p>Each gap in the event numbers of an engine halves the confidence in what was known of it,
 * because any of its prefixes may have been evicted in a lost event. A stale record costs an
 * additional prefill, but never affects the response. The index retains a bounded number of
 * prefixes, the most recently used ones.
 */
public final class PrefixIndex {
  private static final double CONFIDENCE_AFTER_GAP = 0.5;

  /** Maximum number of engines per prefix; more do not improve a choice among 16 candidates. */
  private static final int MAX_HOLDERS = 8;

  /**
   * A change in the prefix cache of an engine.
   *
   * @param engine name of the engine
   * @param number sequence number of the event, per engine
   * @param prefix digest of the prefix
   * @param stored true if the prefix was stored, false if it was evicted
   */
  public record CacheEvent(String engine, long number, String prefix, boolean stored) {}

  private record Holder(String engine, int gapsAtStore) {}

  private static final class EngineEvents {
    private long lastNumber;
    private int gaps;
  }

  private final int maxPrefixes;
  private final Map<String, List<Holder>> holders;
  private final Map<String, EngineEvents> engines = new LinkedHashMap<>();

  /**
   * Creates an empty index.
   *
   * @param maxPrefixes number of prefixes to retain, the most recently used ones
   */
  public PrefixIndex(int maxPrefixes) {
    this.maxPrefixes = maxPrefixes;
    this.holders = new LinkedHashMap<>(16, 0.75f, true);
  }

  /**
   * Applies a cache event.
   *
   * @param event the event; ignored if its number is not greater than the last one of the engine
   */
  public void apply(CacheEvent event) {
    EngineEvents events = engines.computeIfAbsent(event.engine(), name -> new EngineEvents());
    if (event.number() <= events.lastNumber) {
      return;
    }
    if (event.number() > events.lastNumber + 1) {
      events.gaps++;
    }
    events.lastNumber = event.number();
    if (event.stored()) {
      store(event.engine(), event.prefix(), events.gaps);
    } else {
      evict(event.engine(), event.prefix());
    }
  }

  /**
   * Records that a request with this prefix was sent to an engine, which will cache it soon.
   *
   * @param engine name of the engine
   * @param prefix digest of the prefix
   */
  public void recordSent(String engine, String prefix) {
    store(engine, prefix, engines.computeIfAbsent(engine, name -> new EngineEvents()).gaps);
  }

  /** Removes an engine that has failed or departed. */
  public void remove(String engine) {
    engines.remove(engine);
    holders.values().forEach(list -> list.removeIf(holder -> holder.engine().equals(engine)));
  }

  /**
   * Returns the engines that probably cache a prefix, at most 8.
   *
   * @param prefix digest of the prefix
   * @return names of the engines
   */
  public List<String> holders(String prefix) {
    List<Holder> list = holders.get(prefix);
    return list == null ? List.of() : list.stream().map(Holder::engine).toList();
  }

  /**
   * Returns the confidence that an engine caches a prefix.
   *
   * @param engine name of the engine
   * @param prefix digest of the prefix
   * @return 1 without a gap in the events since the prefix was stored, halved by each gap, or 0 if
   *     the engine is not known to cache it
   */
  public double confidence(String engine, String prefix) {
    List<Holder> list = holders.get(prefix);
    if (list == null) {
      return 0;
    }
    for (Holder holder : list) {
      if (holder.engine().equals(engine)) {
        EngineEvents events = engines.get(engine);
        int gaps = events == null ? 0 : events.gaps - holder.gapsAtStore();
        return StrictMath.pow(CONFIDENCE_AFTER_GAP, gaps);
      }
    }
    return 0;
  }

  private void store(String engine, String prefix, int gapsAtStore) {
    List<Holder> list = holders.computeIfAbsent(prefix, p -> new ArrayList<>(2));
    list.removeIf(holder -> holder.engine().equals(engine));
    list.add(new Holder(engine, gapsAtStore));
    if (list.size() > MAX_HOLDERS) {
      list.remove(0);
    }
    if (holders.size() > maxPrefixes) {
      Iterator<String> oldest = holders.keySet().iterator();
      oldest.next();
      oldest.remove();
    }
  }

  private void evict(String engine, String prefix) {
    List<Holder> list = holders.get(prefix);
    if (list != null) {
      list.removeIf(holder -> holder.engine().equals(engine));
    }
  }
}
