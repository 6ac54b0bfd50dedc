package io.samphiregauge.core.quota;

import io.samphiregauge.core.site.TeamQuota;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * The buckets of the teams for which an entry lends. Whether it may lend is decided by {@link
 * LenderRoster}. Not thread-safe.
 */
public final class QuotaLender {
  private final QuotaTolerance tolerance;
  private final Map<String, QuotaBucket> buckets = new HashMap<>();

  /**
   * Creates a lender without buckets.
   *
   * @param tolerance how far quotas may be exceeded
   */
  public QuotaLender(QuotaTolerance tolerance) {
    this.tolerance = tolerance;
  }

  /** Returns whether this entry has a bucket of a team. */
  public boolean has(String team) {
    return buckets.containsKey(team);
  }

  /**
   * Lends credit of a team. A new bucket is empty at the time given, so that a change of the lender
   * hands out no second burst.
   *
   * @param quota current quota of the team
   * @param need what is needed
   * @param sinceMs time since which this entry would have lent for the team; monotonic, in
   *     milliseconds
   * @param nowMs monotonic time in milliseconds
   * @return what is lent
   */
  public LentCredit lend(TeamQuota quota, CreditNeed need, long sinceMs, long nowMs) {
    return bucket(need.team(), quota, sinceMs, nowMs).lend(need.costs(), need.ahead(), nowMs);
  }

  /**
   * Adopts the level of the previous lender.
   *
   * @param team name of the team
   * @param quota its current quota
   * @param level unlent credit
   * @param nowMs monotonic time in milliseconds
   */
  public void adopt(String team, TeamQuota quota, long level, long nowMs) {
    if (!buckets.containsKey(team)) {
      bucket(team, quota, nowMs, nowMs).setLevel((double) level, nowMs);
    }
  }

  private QuotaBucket bucket(String team, TeamQuota quota, long sinceMs, long nowMs) {
    double maxDebt = tolerance.maxDebt(quota);
    QuotaBucket bucket =
        buckets.computeIfAbsent(team, name -> new QuotaBucket(quota, maxDebt, sinceMs));
    if (bucket.quota().equals(quota)) {
      return bucket;
    }
    QuotaBucket changed = bucket.withQuota(quota, maxDebt, nowMs);
    buckets.put(team, changed);
    return changed;
  }

  /**
   * Removes the buckets of teams for which this entry lends no more.
   *
   * @param ended selects these teams
   * @param nowMs monotonic time in milliseconds
   * @return the levels of these teams
   */
  public Map<String, Long> remove(Predicate<String> ended, long nowMs) {
    Map<String, Long> levels = new HashMap<>();
    List<String> teams = new ArrayList<>(buckets.keySet());
    for (String team : teams) {
      if (ended.test(team)) {
        levels.put(team, (long) buckets.remove(team).level(nowMs));
      }
    }
    return levels;
  }

  /** Returns the unlent credit of a team, or empty if this entry has not lent for it. */
  public Optional<Long> level(String team, long nowMs) {
    return Optional.ofNullable(buckets.get(team)).map(bucket -> (long) bucket.level(nowMs));
  }
}
