package io.samphiregauge.core.suspect;

import io.samphiregauge.schema.peer.RecentCrash;
import io.samphiregauge.schema.peer.TraitBlock;
import io.samphiregauge.schema.peer.TraitCompletion;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Attributes crashes of servers to traits of the requests that were lost in them, and blocks the
 * traits that crash one server after another. Not thread-safe.
 *
 * <p>Each lost request is a suspect with all its traits. A trait that is in several crashes without
 * a completion in between is blocked. Its crashes are then explained and do not count for the other
 * traits of the same requests. A completion of any request with a trait proves that the trait alone
 * does not crash servers.
 *
 * <p>Times are monotonic milliseconds of this process; messages contain ages instead.
 *
 * <pre>{@code
 * attribution.recordCrash(server, lost, nowMs, nowMs);
 * attribution.update(nowMs);
 * CrashSuspects snapshot = attribution.suspects(trait -> false);
 * }</pre>
 */
public final class CrashAttribution {
  /** Crashes after which a trait is blocked of which no completion is known. */
  static final int MIN_CRASHES = 3;

  /** Crashes after which a trait is blocked that completed before them. */
  static final int MIN_CRASHES_AFTER_COMPLETION = 5;

  /**
   * Servers that crash within this time of each other probably have a common cause, such as the
   * loss of a failure domain, and count once.
   */
  static final long SIMULTANEOUS_MS = 200;

  /** Capacity in crashes; the ones that were recorded first are evicted. */
  static final int MAX_EVENTS = 128;

  /** Capacity in blocked traits; the ones that were blocked first are evicted. */
  static final int MAX_BLOCKS = 64;

  /** Limits the size of a message; a few crashes suffice to block a trait. */
  private static final int MAX_REPORTED_EVENTS = 16;

  /** Age at which crashes are forgotten. */
  private static final long EVENT_TTL_MS = 600_000;

  /** Completions that are newer by less than this than the reported ones are not reported. */
  private static final long MIN_REPORT_ADVANCE_MS = 1_000;

  private static final Comparator<Suspect> MOST_SUSPECT_FIRST =
      Comparator.<Suspect>comparingLong(suspect -> suspect.completedAtMs)
          .thenComparing(Comparator.<Suspect>comparingInt(Suspect::countCrashes).reversed())
          .thenComparing(Comparator.<Suspect>comparingInt(suspect -> suspect.position).reversed())
          .thenComparing(suspect -> suspect.trait);

  private final Consumer<AttributionChange> changeListener;
  private final Map<String, CrashEvent> events = boundedMap(MAX_EVENTS);
  private final Map<String, BlockState> blocks = boundedMap(MAX_BLOCKS);
  private final CompletionHistory completions = new CompletionHistory();
  private Map<String, Suspect> suspects = new HashMap<>();
  private boolean stale;

  /**
   * Creates an instance without crashes.
   *
   * @param changeListener receives each change of the blocked traits
   */
  public CrashAttribution(Consumer<AttributionChange> changeListener) {
    this.changeListener = changeListener;
  }

  private static <V> Map<String, V> boundedMap(int capacity) {
    return new LinkedHashMap<>() {
      private static final long serialVersionUID = 1L;

      @Override
      protected boolean removeEldestEntry(Map.Entry<String, V> eldest) {
        return size() > capacity;
      }
    };
  }

  /** A trait that is not blocked, with the unexplained crashes since its last completion. */
  private static final class Suspect {
    private final String trait;
    private final long completedAtMs;
    private final Map<String, Integer> groupsByServer = new HashMap<>();
    private final List<CrashEvent> lastGroup = new ArrayList<>();
    private int groups;
    private int position;
    private long firstSeenAtMs;
    private long lastSeenAtMs;

    private Suspect(String trait, long completedAtMs) {
      this.trait = trait;
      this.completedAtMs = completedAtMs;
    }

    /** Adds a crash, which must not be older than the ones added before. */
    private void add(CrashEvent event) {
      if (groups == 0) {
        firstSeenAtMs = event.seenAtMs();
      }
      if (!isSimultaneous(event)) {
        groups++;
        lastGroup.clear();
      }
      lastGroup.add(event);
      groupsByServer.put(event.server(), groups);
      position = Math.max(position, event.position(trait));
      lastSeenAtMs = event.seenAtMs();
    }

    private boolean isSimultaneous(CrashEvent event) {
      return !lastGroup.isEmpty()
          && event.seenAtMs() - lastGroup.get(0).seenAtMs() <= SIMULTANEOUS_MS
          && lastGroup.stream().noneMatch(event::sharesRequestWith);
    }

    private boolean hasCompleted() {
      return completedAtMs != CompletionHistory.NEVER;
    }

    private int countCrashes() {
      return groups;
    }

    private boolean isCause() {
      return groups >= (hasCompleted() ? MIN_CRASHES_AFTER_COMPLETION : MIN_CRASHES);
    }
  }

  /**
   * Records requests that were lost when a server crashed. Reports of several entries about one
   * server incarnation are merged, and repeated reports have no effect.
   *
   * @param server incarnation of the server, which differs between its starts
   * @param lost requests whose responses had not begun
   * @param seenAtMs time at which the crash became known
   * @param nowMs current time
   * @return whether anything in the report was new
   */
  public boolean recordCrash(String server, List<RequestTraits> lost, long seenAtMs, long nowMs) {
    if (lost.isEmpty() || nowMs - seenAtMs >= EVENT_TTL_MS) {
      return false;
    }
    CrashEvent event = events.computeIfAbsent(server, key -> new CrashEvent(key, seenAtMs));
    if (!event.add(lost, seenAtMs)) {
      return false;
    }
    renewBlocks(event, nowMs);
    stale = true;
    return true;
  }

  private void renewBlocks(CrashEvent event, long nowMs) {
    blocks.forEach(
        (trait, block) -> {
          if (event.contains(trait) && block.isTrialResult(event.seenAtMs())) {
            block.renew(event.seenAtMs(), nowMs);
            changeListener.accept(
                new AttributionChange.Renewed(trait, event.server(), block.durationMs()));
          }
        });
  }

  /**
   * Records that the response to a request of this entry began.
   *
   * @param traits traits of the request
   * @param nowMs current time
   * @return the traits whose completion the other entries should learn, because they were suspects
   */
  public List<String> recordCompletion(RequestTraits traits, long nowMs) {
    List<String> concerned = new ArrayList<>();
    for (String trait : traits.values()) {
      boolean isConcerned = suspects.containsKey(trait) || blocks.containsKey(trait) || stale;
      boolean isDigest = trait.equals(traits.digest());
      if (isConcerned && (!isDigest || isRepeated(trait))) {
        concerned.add(trait);
      }
      // Digests are as numerous as requests and would evict the prompt parts.
      if (isConcerned || !isDigest) {
        completions.recordOwn(trait, nowMs);
        applyCompletion(trait, nowMs, false);
      }
    }
    return concerned;
  }

  /**
   * Records completions that another entry has reported.
   *
   * @param reported the completions
   * @param nowMs current time
   */
  public void recordReportedCompletions(Collection<TraitCompletion> reported, long nowMs) {
    for (TraitCompletion completion : reported) {
      long completedAtMs = nowMs - Math.max(0, completion.getAgeMs());
      completions.recordReported(completion.getTrait(), completedAtMs);
      applyCompletion(completion.getTrait(), completedAtMs, true);
    }
  }

  /** Returns whether a trait is in several crashes, so that other entries may block it. */
  private boolean isRepeated(String trait) {
    return blocks.containsKey(trait)
        || events.values().stream().filter(event -> event.contains(trait)).count() > 1;
  }

  private void applyCompletion(String trait, long completedAtMs, boolean byPeer) {
    Optional<BlockState> block = Optional.ofNullable(blocks.get(trait));
    if (block.isPresent()) {
      if (block.get().isDisprovedBy(completedAtMs)) {
        blocks.remove(trait);
        stale = true;
        changeListener.accept(new AttributionChange.Cleared(trait, byPeer));
      }
    } else if (suspects.containsKey(trait)) {
      if (completedAtMs >= suspects.get(trait).lastSeenAtMs) {
        // The crashes of other traits are unaffected, so they need not be counted again.
        suspects.remove(trait);
      } else {
        stale = true;
      }
    }
  }

  /**
   * Returns completions of this entry that the other entries should know, and assumes that the
   * caller reports them. A completion that an entry has already reported is left out.
   *
   * @param traits traits to consider
   * @param nowMs current time
   * @return the completions to report
   */
  public List<TraitCompletion> completionsToReport(Collection<String> traits, long nowMs) {
    List<TraitCompletion> result = new ArrayList<>();
    for (String trait : traits) {
      long ownMs = completions.newestOwnMs(trait);
      if (ownMs != CompletionHistory.NEVER && isWorthReporting(trait, ownMs)) {
        completions.recordReported(trait, ownMs);
        result.add(new TraitCompletion(trait, nowMs - ownMs));
      }
    }
    return result;
  }

  private boolean isWorthReporting(String trait, long ownMs) {
    long reportedMs = completions.newestReportedMs(trait);
    long crashedAtMs =
        events.values().stream()
            .filter(event -> event.contains(trait))
            .mapToLong(CrashEvent::seenAtMs)
            .max()
            .orElse(Long.MAX_VALUE);
    boolean disprovesCrash = ownMs > crashedAtMs && reportedMs <= crashedAtMs;
    return disprovesCrash || ownMs - reportedMs >= MIN_REPORT_ADVANCE_MS;
  }

  /**
   * Records blocks of an entry that this entry has asked after its start.
   *
   * @param reported the blocks
   * @param nowMs current time
   */
  public void recordReportedBlocks(Collection<TraitBlock> reported, long nowMs) {
    for (TraitBlock message : reported) {
      String trait = message.getTrait();
      long startedAtMs = nowMs - Math.max(0, message.getAgeMs());
      long durationMs = Math.min(BlockState.MAX_DURATION_MS, Math.max(1, message.getDurationMs()));
      BlockState block = new BlockState(trait, startedAtMs, durationMs, startedAtMs);
      boolean isOlder =
          blocks.containsKey(trait) && blocks.get(trait).trialAtMs() >= block.trialAtMs();
      if (isOlder || block.isExpired(nowMs) || completions.newestMs(trait) > startedAtMs) {
        continue;
      }
      blocks.put(trait, block);
      stale = true;
      changeListener.accept(
          new AttributionChange.Blocked(trait, 0, completions.count(trait), durationMs, true));
    }
  }

  /**
   * Records that this entry is about to send a request with a blocked trait as a trial.
   *
   * @param trait the blocked trait
   * @param nowMs current time
   */
  public void recordTrialStarted(String trait, long nowMs) {
    Optional.ofNullable(blocks.get(trait)).ifPresent(block -> block.startTrial(nowMs));
  }

  /**
   * Counts the crashes of each trait and blocks those that cause them. To be called after records;
   * counting once for many records saves time while a failure domain is lost.
   *
   * @param nowMs current time
   */
  public void update(long nowMs) {
    events.values().removeIf(event -> nowMs - event.seenAtMs() >= EVENT_TTL_MS);
    blocks.entrySet().removeIf(entry -> expire(entry.getKey(), entry.getValue(), nowMs));
    if (!stale) {
      return;
    }
    stale = false;
    List<CrashEvent> unexplained = new ArrayList<>(events.values());
    unexplained.removeIf(event -> blocks.keySet().stream().anyMatch(event::contains));
    unexplained.sort(Comparator.comparingLong(CrashEvent::seenAtMs));
    suspects = countCrashes(unexplained);
    Optional<Suspect> cause = findCause();
    while (cause.isPresent()) {
      String trait = cause.get().trait;
      block(cause.get(), nowMs);
      unexplained.removeIf(event -> event.contains(trait));
      suspects = countCrashes(unexplained);
      cause = findCause();
    }
  }

  private boolean expire(String trait, BlockState block, long nowMs) {
    if (!block.isExpired(nowMs)) {
      return false;
    }
    changeListener.accept(new AttributionChange.Expired(trait));
    events.values().removeIf(event -> event.contains(trait));
    stale = true;
    return true;
  }

  private Map<String, Suspect> countCrashes(List<CrashEvent> unexplained) {
    Map<String, Suspect> result = new HashMap<>();
    for (CrashEvent event : unexplained) {
      for (String trait : event.traits()) {
        long completedAtMs = completions.newestMs(trait);
        if (event.seenAtMs() > completedAtMs) {
          result.computeIfAbsent(trait, key -> new Suspect(key, completedAtMs)).add(event);
        }
      }
    }
    return result;
  }

  private Optional<Suspect> findCause() {
    return suspects.values().stream().filter(Suspect::isCause).min(MOST_SUSPECT_FIRST);
  }

  private void block(Suspect cause, long nowMs) {
    String trait = cause.trait;
    long durationMs = BlockState.FIRST_DURATION_MS;
    blocks.put(trait, new BlockState(trait, nowMs, durationMs, cause.firstSeenAtMs));
    changeListener.accept(
        new AttributionChange.Blocked(
            trait, cause.countCrashes(), completions.count(trait), durationMs, false));
  }

  /**
   * Returns a snapshot for the threads that forward requests, as of the last {@link #update}.
   *
   * @param ownsTrial decides whether this entry runs the trials of a trait; true at one entry only
   */
  public CrashSuspects suspects(Predicate<String> ownsTrial) {
    Map<String, CrashSuspects.BlockedTrait> blocked = new HashMap<>();
    blocks.forEach((trait, block) -> blocked.put(trait, block.snapshot(ownsTrial.test(trait))));
    Map<String, CrashSuspects.SuspectedTrait> suspected = new HashMap<>();
    suspects.forEach(
        (trait, suspect) ->
            suspected.put(
                trait,
                new CrashSuspects.SuspectedTrait(
                    suspect.hasCompleted(), Map.copyOf(suspect.groupsByServer))));
    return new CrashSuspects(blocked, suspected);
  }

  /**
   * Returns all blocks, for an entry that has started.
   *
   * @param nowMs current time
   */
  public List<TraitBlock> blocksToReport(long nowMs) {
    return blocks.values().stream().map(block -> block.toMessage(nowMs)).toList();
  }

  /**
   * Returns the newest crashes, for an entry that has started.
   *
   * @param nowMs current time
   */
  public List<RecentCrash> crashesToReport(long nowMs) {
    return events.values().stream()
        .sorted(Comparator.comparingLong(CrashEvent::seenAtMs).reversed())
        .limit(MAX_REPORTED_EVENTS)
        .map(event -> new RecentCrash(nowMs - event.seenAtMs(), event.toMessage()))
        .toList();
  }

  int eventCount() {
    return events.size();
  }

  int blockCount() {
    return blocks.size();
  }

  int completionCount() {
    return completions.size();
  }
}
