package io.samphiregauge.core.directory;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The shares of the entries of the group, as far as one of them knows: what they have told lately,
 * and a smaller share for those that have just joined. Not thread-safe.
 *
 * <p>An entry only tells that it takes less than its full share. What it told is forgotten after a
 * while, so that a lost message or a restart does not keep callers away from it.
 */
public final class KnownShares {
  /** Time in which a new process compiles its code and opens its connections to the servers. */
  private static final long START_MS = 6_000;

  /**
   * Members that are found within this time after the own start may have run for long, or have all
   * started together.
   */
  private static final long OWN_START_MS = 3_000;

  /** Minimum time between two messages of an entry. */
  private static final long MIN_PERIOD_MS = 1_000;

  /** Larger groups send less often, which bounds the messages of each entry to 50 per second. */
  private static final long PERIOD_MS_PER_MEMBER = 20;

  /** Periods after which a share is forgotten; one message may be lost. */
  private static final double RETENTION_PERIODS = 2.5;

  /** Fall of the share that is told at once. */
  private static final double TOLD_FALL = 0.1;

  private final long startedAtMs;
  private final Map<String, Long> joinedAtMs = new HashMap<>();
  private final Map<String, Told> told = new HashMap<>();

  private record Told(double share, long receivedAtMs) {}

  /**
   * Creates an instance that knows no other entry.
   *
   * @param nowMs monotonic time in milliseconds
   */
  public KnownShares(long nowMs) {
    this.startedAtMs = nowMs;
  }

  /**
   * Returns the time between two messages of an entry that takes less than its full share.
   *
   * @param members number of entries in the group
   * @return the time in milliseconds
   */
  public static long periodMs(int members) {
    return Math.max(MIN_PERIOD_MS, members * PERIOD_MS_PER_MEMBER);
  }

  /**
   * Decides whether an entry tells its share: a fall at once, a rise with the next due message, and
   * nothing while it starts, when the others give it a smaller share anyway. Otherwise a restart of
   * all entries would make all of them send to all.
   *
   * @param share present share of the entry
   * @param toldShare share that it has told last, 1 at first
   * @param sinceToldMs time since then, in milliseconds
   * @param nowMs monotonic time in milliseconds
   * @return whether the share is to be told now
   */
  public boolean mustTell(double share, double toldShare, long sinceToldMs, long nowMs) {
    boolean starting = nowMs - startedAtMs < START_MS;
    boolean due = sinceToldMs >= periodMs(joinedAtMs.size()) && (share < 1 || toldShare < 1);
    return !starting && (due || toldShare - share >= TOLD_FALL);
  }

  /**
   * Replaces the members of the group.
   *
   * @param processes processes of the members
   * @param nowMs monotonic time in milliseconds
   */
  public void setMembers(List<String> processes, long nowMs) {
    joinedAtMs.keySet().retainAll(processes);
    told.keySet().retainAll(processes);
    long joinedMs = nowMs - startedAtMs < OWN_START_MS ? nowMs - START_MS : nowMs;
    processes.forEach(process -> joinedAtMs.putIfAbsent(process, joinedMs));
  }

  /**
   * Records the share that an entry has told.
   *
   * @param process process of the entry
   * @param share the share
   * @param nowMs monotonic time in milliseconds
   */
  public void receive(String process, double share, long nowMs) {
    if (joinedAtMs.containsKey(process)) {
      told.put(process, new Told(share, nowMs));
    }
  }

  /**
   * Returns the share of a member.
   *
   * @param process process of the member
   * @param nowMs monotonic time in milliseconds
   * @return the share, from {@link EntryShare#MIN_SHARE} to 1
   */
  public double share(String process, long nowMs) {
    double runningMs = (double) (nowMs - joinedAtMs.getOrDefault(process, nowMs - START_MS));
    double started = Math.min(1, runningMs / START_MS);
    double byStart = EntryShare.MIN_SHARE + (1 - EntryShare.MIN_SHARE) * started;
    Told last = told.getOrDefault(process, new Told(1, nowMs));
    double retentionMs = RETENTION_PERIODS * periodMs(joinedAtMs.size());
    return nowMs - last.receivedAtMs() <= retentionMs ? Math.min(byStart, last.share()) : byStart;
  }
}
