package io.samphiregauge.core.route;

import io.samphiregauge.schema.config.Backend;
import io.samphiregauge.schema.entry.EntryAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/** Orders the addresses of entries for a caller; a pure function of its arguments. */
@FunctionalInterface
public interface DirectoryOrder {
  /**
   * Orders addresses.
   *
   * @param entries entries that serve
   * @param backends backend servers that the caller's requests may run on
   * @param caller what tells callers apart, such as team and address
   * @return all entries, the preferred one first
   */
  List<EntryAddress> order(List<EntryAddress> entries, List<Backend> backends, String caller);

  /**
   * Chooses the order by the distances of a deployment.
   *
   * <p>Where clients are closer to the entries than failure domains are to each other, a caller is
   * sent to an entry next to its backend servers. Where they are farther away, any entry will do,
   * since it reaches each backend server over the shorter hop, and callers are spread evenly.
   *
   * @param clientHopUs delay between a client and an entry
   * @param domainHopUs delay between two failure domains
   * @return the order
   */
  static DirectoryOrder byDistance(int clientHopUs, int domainHopUs) {
    return clientHopUs < domainHopUs ? preferBackendDomains() : uniform();
  }

  /**
   * Puts entries in failure domains with many backend servers first.
   *
   * @return the order
   */
  static DirectoryOrder preferBackendDomains() {
    return (entries, backends, caller) -> {
      Map<String, Integer> backendsPerDomain = new HashMap<>();
      backends.forEach(
          backend -> backendsPerDomain.merge(backend.getFailureDomain(), 1, Integer::sum));
      Map<String, Integer> entriesPerDomain = new HashMap<>();
      entries.forEach(entry -> entriesPerDomain.merge(entry.getFailureDomain(), 1, Integer::sum));
      return sorted(
          entries,
          caller,
          entry ->
              backendsPerDomain.getOrDefault(entry.getFailureDomain(), 0)
                  / (double) entriesPerDomain.get(entry.getFailureDomain()));
    };
  }

  /**
   * Spreads callers evenly over the entries.
   *
   * @return the order
   */
  static DirectoryOrder uniform() {
    return (entries, backends, caller) -> sorted(entries, caller, entry -> 1);
  }

  /** Weighted rendezvous hashing: an entry leads for a share of the callers equal to its weight. */
  private static List<EntryAddress> sorted(
      List<EntryAddress> entries, String caller, ToDoubleFunction<EntryAddress> weight) {
    Map<EntryAddress, Double> scores = new HashMap<>();
    for (EntryAddress entry : entries) {
      double fraction = fraction(caller, entry.getAddress());
      scores.put(entry, weight.applyAsDouble(entry) / -Math.log(fraction));
    }
    List<EntryAddress> sorted = new ArrayList<>(entries);
    sorted.sort(
        Comparator.comparingDouble((EntryAddress entry) -> -scores.get(entry))
            .thenComparing(EntryAddress::getAddress));
    return sorted;
  }

  /** Hashes a caller and an address to a number between 0 and 1, both excluded. */
  private static double fraction(String caller, String address) {
    long hash = caller.hashCode() * 0x9E3779B97F4A7C15L + address.hashCode();
    hash = (hash ^ (hash >>> 30)) * 0xBF58476D1CE4E5B9L;
    hash = (hash ^ (hash >>> 27)) * 0x94D049BB133111EBL;
    hash = hash ^ (hash >>> 31);
    return ((hash >>> 11) + 0.5) * 0x1.0p-53;
  }
}
