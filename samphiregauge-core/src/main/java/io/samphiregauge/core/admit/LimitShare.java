package io.samphiregauge.core.admit;

import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/**
 * Tracks the share of one entry in one limit of a team. Shares follow demand without a central
 * counter.
 *
 * <p>All entries start an epoch with equal shares. An entry whose share exceeds its target
 * transfers the surplus to entries with a deficit. It announces, per recipient, the cumulative
 * amount transferred; the recipient adds the largest amount that it has received. Only the owner of
 * a share reduces it, and it does so before any recipient can learn of the transfer.
 *
 * <p>Invariant: within an epoch the sum of the shares never exceeds the limit, even if
 * announcements are delayed, lost, duplicated or blocked by a partition. A lost announcement only
 * leaves part of the limit unused until the next one. A new epoch starts with each change of the
 * limit or of the entries, at the offset of a log record. Until all entries have read that record,
 * within 4 s, the shares of the old and the new epoch together are at most the sum of both limits.
 */
public final class LimitShare {
  /** Fraction of an equal share that an idle entry keeps, for its first requests after a pause. */
  private static final double MIN_SHARE_FRACTION = 0.1;

  /**
   * State that an entry sends to the other entries.
   *
   * @param epoch epoch of the shares
   * @param number sequence number of the announcement
   * @param demand demand at the sender
   * @param share share of the sender
   * @param transferred cumulative amount transferred to each entry in the epoch
   */
  public record Announcement(
      long epoch, long number, double demand, double share, Map<String, Double> transferred) {
    /** Creates an announcement with an immutable copy of the map. */
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
   * Creates a share that is equal for all entries.
   *
   * @param self name of this entry
   * @param epoch offset of the log record that set the limit or the entries
   * @param limit limit of the team across all entries
   * @param entries number of entries that have not terminated, including this one
   */
  public LimitShare(String self, long epoch, double limit, int entries) {
    this.self = Objects.requireNonNull(self, "self");
    restart(epoch, limit, entries);
  }

  /**
   * Starts an epoch with equal shares.
   *
   * @param newEpoch offset of the log record that set the limit or the entries
   * @param newLimit limit of the team across all entries
   * @param newEntries number of entries that have not terminated, including this one
   */
  public void restart(long newEpoch, double newLimit, int newEntries) {
    if (newLimit < 0 || newEntries < 1) {
      throw new IllegalArgumentException(
          "limit must be at least 0 and entries at least 1, got limit %s and %d entries"
              .formatted(newLimit, newEntries));
    }
    epoch = newEpoch;
    limit = newLimit;
    entries = newEntries;
    others.clear();
    transferred.clear();
    received.clear();
  }

  /** Returns the part of the limit that this entry may use now. */
  public double share() {
    return Math.max(0, limit / entries + sum(received) - sum(transferred));
  }

  /**
   * Sets the demand at this entry; its ratio to the demand at other entries determines the share.
   */
  public void setDemand(double value) {
    demand = Math.max(0, value);
  }

  /**
   * Applies the announcement of another entry; announcements of other epochs are ignored.
   *
   * @param entry name of the sender
   * @param announcement the announcement
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
   * Transfers the surplus of this entry to entries with a deficit. Called once per exchange.
   *
   * @return the announcement to send to the other entries
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

  /** Returns the target share for a demand: a minimum, plus a proportional part of the rest. */
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
