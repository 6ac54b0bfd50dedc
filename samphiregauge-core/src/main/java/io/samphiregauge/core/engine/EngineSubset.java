package io.samphiregauge.core.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Selects the subset of engines that one entry uses, so that connections and state per entry do not
 * grow with the fleet.
 *
 * <p>Rendezvous hashing ranks the engines separately for each entry. Each failure domain
 * contributes in proportion to its number of engines. Adding or removing an engine changes at most
 * one member of each subset.
 */
public final class EngineSubset {
  /**
   * Default size of a subset; with 560 entries and 3,100 engines, each engine serves about 56
   * entries.
   */
  public static final int DEFAULT_SIZE = 310;

  private EngineSubset() {}

  /**
   * Selects the subset of an entry.
   *
   * @param entry identifier of the VM of the entry
   * @param model model that the engines serve
   * @param engines engines of the model
   * @param size size of the subset; all engines are returned if there are not more
   * @return names of the selected engines, sorted
   */
  public static List<String> of(String entry, String model, List<EngineProfile> engines, int size) {
    if (engines.size() <= size) {
      return engines.stream().map(EngineProfile::name).sorted().toList();
    }
    Map<String, List<EngineProfile>> byDomain = new TreeMap<>();
    engines.forEach(
        e -> byDomain.computeIfAbsent(e.failureDomain(), d -> new ArrayList<>()).add(e));
    long seed = hash(hash(0x9e3779b97f4a7c15L, entry), model);
    List<String> chosen = new ArrayList<>();
    int remainingEngines = engines.size();
    int remainingMembers = size;
    for (List<EngineProfile> domain : byDomain.values()) {
      int domainMembers =
          (int) Math.round((double) remainingMembers * domain.size() / remainingEngines);
      domain.sort(Comparator.comparingLong((EngineProfile e) -> hash(seed, e.name())));
      domain.stream().limit(domainMembers).map(EngineProfile::name).forEach(chosen::add);
      remainingEngines -= domain.size();
      remainingMembers -= domainMembers;
    }
    chosen.sort(Comparator.naturalOrder());
    return chosen;
  }

  private static long hash(long seed, String text) {
    long value = seed;
    for (int i = 0; i < text.length(); i++) {
      value = mix(value ^ text.charAt(i));
    }
    return value;
  }

  private static long mix(long value) {
    long z = value + 0x9e3779b97f4a7c15L;
    z = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
    z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
    return z ^ (z >>> 31);
  }
}
