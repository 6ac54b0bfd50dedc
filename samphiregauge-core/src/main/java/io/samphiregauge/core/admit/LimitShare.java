package io.samphiregauge.core.admit;

import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/**
 * The share of one entry in one limit of a team; shares follow demand without a central counter.
 *
 * <p>All entries start an epoch with equal shares. An entry with more share than its demand needs
 * gives the rest to entries that need more. It announces, for each receiver, the sum of all that it
 * has given; the receiver counts what it has heard. Only the owner of a share lowers it, and it
 * does so before anyone can hear of the gift.
 *
 * <p>Bound: within an epoch the shares never add up to more than the limit, whatever announcements
 * are late, lost, repeated or cut off by a partition. A lost announcement only leaves a part unused
 * until the next one. An epoch starts with each change of the limit or of the entries, at the
 * offset of a log record; until all entries have read that record, within 4 s, shares of the old
 * and the new epoch together are at most the old limit plus the new one.
 */
public final class LimitShare {
  /** Part of an equal share that an entry keeps, for the first request after a pause. */
  private static final double MIN_SHARE_FRACTION = 0.1;

  /**
   * What an entry tells the others.
   *
   * @param epoch epoch
   * @param number number of the announcement
   * @param demand its demand
   * @param share its share
   * @param transferred sum of what it has given to each entry in the epoch
   */
  public record Announcement(
      long epoch, long number, double demand, double share, Map<String, Double> transferred) {
    /** Copies the map. */
    public Announcement {
      transferred = Map.copyOf(transferred);
    }
  }

  private final String self;
  private final Map<String, Announcement> others = new TreeMap<>();
  private final Map<String, Double> transferred = new TreeMap<>();
  private final Map<String, Double> received = new TreeMap<>();
  private long epoch;
  private long number;
  private double limit;
  private int entries;
  private double demand;

  /**
   * Starts with an equal share.
   *
   * @param self name of this entry
   * @param epoch offset of the log record that set the limit or the entries
   * @param limit limit of the team over all entries
   * @param entries entries that have not ended, this one included
   */
  public LimitShare(String self, long epoch, double limit, int entries) {
    this.self = Objects.requireNonNull(self, "self");
    restart(epoch, limit, entries);
  }

  /**
   * Starts an epoch with equal shares.
   *
   * @param newEpoch offset of the log record that set the limit or the entries
   * @param newLimit limit of the team over all entries
   * @param newEntries entries that have not ended, this one included
   */
  public void restart(long newEpoch, double newLimit, int newEntries) {
    if (newLimit < 0 || newEntries < 1) {
      throw new IllegalArgumentException("a limit is at least 0, and there is at least one entry");
    }
    epoch = newEpoch;
    limit = newLimit;
    entries = newEntries;
    others.clear();
    transferred.clear();
    received.clear();
  }

  /** Returns the share that this entry may use now. */
  public double share() {
    return Math.max(0, limit / entries + sum(received) - sum(transferred));
  }

  /** Sets the demand at this entry. */
  public void setDemand(double value) {
    demand = Math.max(0, value);
  }

  /**
   * Takes the announcement of another entry; one of another epoch is ignored.
   *
   * @param entry name of the entry
   * @param announcement what it tells
   */
  public void receive(String entry, Announcement announcement) {
    if (entry.equals(self) || announcement.epoch() != epoch) {
      return;
    }
    received.merge(entry, announcement.transferred().getOrDefault(self, 0.0), Math::max);
    Announcement last = others.get(entry);
    if (last == null || announcement.number() > last.number()) {
      others.put(entry, announcement);
    }
  }

  /**
   * Gives away what the demand does not need; called once in each exchange.
   *
   * @return what to tell the others
   */
  public Announcement rebalance() {
    double surplus = share() - targetShare(demand);
    Map<String, Double> deficits = new TreeMap<>();
    others.forEach(
        (name, other) -> deficits.put(name, targetShare(other.demand()) - other.share()));
    deficits.values().removeIf(deficit -> deficit <= 0);
    double totalDeficit = sum(deficits);
    if (surplus > 0 && totalDeficit > 0) {
      double fraction = Math.min(1, surplus / totalDeficit);
      deficits.forEach((name, deficit) -> transferred.merge(name, deficit * fraction, Double::sum));
    }
    number++;
    return new Announcement(epoch, number, demand, share(), transferred);
  }

  /** The share that a demand should have: a floor, and its part of the rest. */
  private double targetShare(double entryDemand) {
    double minShare = MIN_SHARE_FRACTION * limit / entries;
    double totalDemand = demand;
    for (Announcement other : others.values()) {
      totalDemand += other.demand();
    }
    double fraction = totalDemand <= 0 ? 1.0 / entries : entryDemand / totalDemand;
    return minShare + (limit - minShare * entries) * fraction;
  }

  private static double sum(Map<String, Double> values) {
    double sum = 0;
    for (double value : values.values()) {
      sum += value;
    }
    return sum;
  }
}
