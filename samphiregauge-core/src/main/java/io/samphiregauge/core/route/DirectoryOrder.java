package io.samphiregauge.core.route;

import io.samphiregauge.schema.config.Backend;
import io.samphiregauge.schema.entry.EntryAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/** Orders the addresses of entries for a caller. Implementations are pure functions. */
@FunctionalInterface
public interface DirectoryOrder {
  /**
   * Orders the entries for a caller.
   *
   * @param entries available entries
   * @param backends backend servers that may run the requests of the caller
   * @param caller key of the caller, such as team and address
   * @return all entries, in order of preference
   */
  List<EntryAddress> order(List<EntryAddress> entries, List<Backend> backends, String caller);

  /**
   * Chooses the order by the network latencies of a deployment.
   *
   * <p>If the latency between callers and entries is lower than between failure domains, callers
   * are directed to an entry in the failure domain of their backend servers. Otherwise the hop
   * between failure domains is the shorter one, and callers are distributed evenly.
   *
   * @param clientHopUs latency between a caller and an entry, in microseconds
   * @param domainHopUs latency between two failure domains, in microseconds
   * @return the order
   */
  static DirectoryOrder byLatency(int clientHopUs, int domainHopUs) {
    return clientHopUs < domainHopUs ? preferBackendDomains() : uniform();
  }

  /**
   * Prefers entries by the number of backend servers per entry in their failure domain.
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
   * Distributes callers evenly across the entries.
   *
   * @return the order
   */
  static DirectoryOrder uniform() {
    return (entries, backends, caller) -> sorted(entries, caller, entry -> 1);
  }

  /**
   * Weighted rendezvous hashing: the fraction of callers for which an entry is first is
   * proportional to its weight.
   */
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

  /** Hashes a caller and an address to a fraction between 0 and 1, both excluded. */
  private static double fraction(String caller, String address) {
    long hash = caller.hashCode() * 0x9E3779B97F4A7C15L + address.hashCode();
    hash = (hash ^ (hash >>> 30)) * 0xBF58476D1CE4E5B9L;
    hash = (hash ^ (hash >>> 27)) * 0x94D049BB133111EBL;
    hash = hash ^ (hash >>> 31);
    return ((hash >>> 11) + 0.5) * 0x1.0p-53;
  }
}
