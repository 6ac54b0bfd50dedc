package io.samphiregauge.core.directory;

import io.samphiregauge.core.RendezvousHash;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * Decides which entries a caller is told, so that each one gets callers in proportion to what it
 * can bear. Performs no I/O and keeps no state.
 *
 * <p>A caller picks at random among the addresses, so an entry's part of the callers follows from
 * the number of callers that it is listed for. Each caller gets the same entries as long as the
 * weights stay, because it closes its connections to those that are missing from a new answer.
 */
public final class CallerSpread {
  /** Largest number of addresses in an answer. */
  static final int MAX_ADDRESSES = 64;

  /** With fewer entries in its failure domain, a caller would have none left after one failure. */
  private static final int MIN_SAME_DOMAIN = 2;

  /** Smallest number of addresses in an answer, if there are as many entries. */
  private static final int MIN_LISTED = 4;

  /** Part of the usual room of a domain below which its callers are sent elsewhere, too. */
  private static final double SHORT_DOMAIN = 0.5;

  /** Part of the usual room that another domain must have, to take such callers. */
  private static final double SOUND_DOMAIN = 0.75;

  private CallerSpread() {}

  /**
   * An entry that serves callers.
   *
   * @param vm VM of the entry
   * @param domain failure domain of the VM
   * @param address address for callers
   * @param capacity what the VM can bear, if its settings say so
   * @param share part of its usual share of the callers that it asks for, above 0 and at most 1
   */
  public record Entry(
      String vm, String domain, String address, Optional<EntryCapacity> capacity, double share) {}

  private record Weighted(Entry entry, double weight) {}

  /**
   * Returns the addresses for a caller.
   *
   * @param entries entries that serve callers, ordered alike on all entries
   * @param domain failure domain of the caller
   * @param caller identifies the caller; one that asks again gets a similar answer
   * @param demand what an average request needs
   * @return addresses to which the caller may connect
   */
  public static List<String> addressesFor(
      List<Entry> entries, String domain, String caller, RequestDemand demand) {
    if (!differ(entries)) {
      return alike(entries, domain);
    }
    List<Weighted> weighted = weigh(entries, domain, demand);
    return select(weighted, caller).stream().map(Entry::address).toList();
  }

  /** Returns whether the capacities of all entries are known and some differ. */
  private static boolean differ(List<Entry> entries) {
    return entries.stream().allMatch(entry -> entry.capacity().isPresent())
        && entries.stream().map(Entry::capacity).distinct().count() > 1;
  }

  private static List<String> alike(List<Entry> entries, String domain) {
    List<Entry> sameDomain =
        entries.stream().filter(entry -> entry.domain().equals(domain)).toList();
    List<Entry> selected = sameDomain.size() >= MIN_SAME_DOMAIN ? sameDomain : entries;
    return selected.stream().map(Entry::address).limit(MAX_ADDRESSES).toList();
  }

  /** Weighs the entries of a domain, and those of others if the domain is short of entries. */
  private static List<Weighted> weigh(List<Entry> entries, String domain, RequestDemand demand) {
    Predicate<Entry> own = entry -> entry.domain().equals(domain);
    List<Entry> ownEntries = entries.stream().filter(own).toList();
    List<Entry> otherEntries = entries.stream().filter(own.negate()).toList();
    List<Weighted> weighted = new ArrayList<>(weigh(ownEntries, 1, demand));
    double lent =
        ownEntries.size() < MIN_SAME_DOMAIN ? 1 : lentPart(ownEntries, otherEntries, demand);
    if (lent > 0) {
      weighted.addAll(weigh(otherEntries, lent, demand));
    }
    return weighted;
  }

  private static List<Weighted> weigh(List<Entry> entries, double factor, RequestDemand demand) {
    return entries.stream()
        .map(entry -> new Weighted(entry, factor * entry.share() * bearable(entry, demand)))
        .toList();
  }

  /**
   * Returns the part of their room that the other domains lend: what the domain lacks, spread over
   * all of them, unless they lack as much.
   */
  private static double lentPart(List<Entry> own, List<Entry> others, RequestDemand demand) {
    double usualRoom = room(own, entry -> 1, demand);
    double presentRoom = room(own, Entry::share, demand);
    double othersUsualRoom = room(others, entry -> 1, demand);
    double othersPresentRoom = room(others, Entry::share, demand);
    boolean shortOfRoom = presentRoom < SHORT_DOMAIN * usualRoom;
    boolean othersSound = othersPresentRoom >= SOUND_DOMAIN * othersUsualRoom;
    return shortOfRoom && othersSound && othersPresentRoom > 0
        ? Math.min(1, (usualRoom - presentRoom) / othersPresentRoom)
        : 0;
  }

  private static double room(
      List<Entry> entries, ToDoubleFunction<Entry> part, RequestDemand demand) {
    return entries.stream()
        .mapToDouble(entry -> part.applyAsDouble(entry) * bearable(entry, demand))
        .sum();
  }

  private static double bearable(Entry entry, RequestDemand demand) {
    return entry.capacity().orElseThrow().requestsPerS(demand);
  }

  /**
   * Selects the entries for a caller by sequential Poisson sampling: each entry has a number for
   * each caller that is spread evenly and does not change, and the entries with the smallest number
   * by weight are selected. The number of selected entries is the largest for which no entry would
   * have to be listed more than once to each caller.
   */
  private static List<Entry> select(List<Weighted> weighted, String caller) {
    double sum = weighted.stream().mapToDouble(Weighted::weight).sum();
    double largest = weighted.stream().mapToDouble(Weighted::weight).max().orElse(1);
    int count = Math.max(MIN_LISTED, (int) Math.min(MAX_ADDRESSES, sum / largest));
    return weighted.stream()
        .sorted(
            Comparator.comparingDouble(
                entry -> RendezvousHash.weight(caller, entry.entry().vm()) / entry.weight()))
        .limit(count)
        .map(Weighted::entry)
        .toList();
  }
}
