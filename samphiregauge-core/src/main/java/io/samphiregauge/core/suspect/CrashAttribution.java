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

  /**
   * Time for which requests with other traits complete, and none with the trait, after which
   * servers that crashed together count separately. Requests with a common sound part complete
   * within this time once any do. The platform tolerates 3 s after the fifth crash.
   */
  static final long OTHERS_COMPLETE_MS = 1_500;

  /** Longest time between two completions while servers work; a lost server takes longer. */
  private static final long MAX_COMPLETION_GAP_MS = 1_000;

  /** Crashes from which a trait without completions may become the cause of its crashes. */
  private static final int MIN_CRASHES_OF_LIKELY_CAUSE = 2;

  /**
   * Longest transit of a message. A reported completion is taken to be earlier by this time, so
   * that one from before a crash does not seem to disprove it.
   */
  private static final long MAX_TRANSIT_MS = 300;

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

  private final Consumer<AttributionChange> changeListener;
  private final Map<String, CrashEvent> events = boundedMap(MAX_EVENTS);
  private final Map<String, BlockState> blocks = boundedMap(MAX_BLOCKS);
  private final CompletionHistory completions = new CompletionHistory();
  private List<CrashEvent> unexplained = List.of();
  private Map<String, Suspect> suspects = new HashMap<>();

  /** Traits in many crashes, with the value of {@link #activeMs} when that was seen. */
  private final Map<String, Long> activeMsAtManyCrashes = new HashMap<>();

  /** Time in total during which requests completed one after another. */
  private long activeMs;

  private long newestCompletionMs = CompletionHistory.NEVER;
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
    observeCompletion(nowMs);
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
      long completedAtMs = nowMs - Math.max(0, completion.getAgeMs()) - MAX_TRANSIT_MS;
      completions.recordReported(completion.getTrait(), completedAtMs, nowMs);
      observeCompletion(completedAtMs);
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
      if (completedAtMs >= suspects.get(trait).lastSeenAtMs()) {
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
        completions.recordReported(trait, ownMs, nowMs);
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
    // Receivers take a completion to be earlier by the transit, so only a later one convinces them.
    boolean isFirst = completions.lastReportAtMs(trait) <= crashedAtMs;
    boolean disprovesCrash =
        reportedMs <= crashedAtMs && ownMs > crashedAtMs + (isFirst ? 0 : MAX_TRANSIT_MS);
    return disprovesCrash || ownMs - reportedMs >= MIN_REPORT_ADVANCE_MS;
  }

  /**
   * Returns completions of this entry that disprove blocks of another entry, which has missed the
   * reports about them. Assumes that the caller reports them.
   *
   * @param announced the blocks
   * @param receivedAtMs time at which they were received; later reports make this one superfluous
   * @param nowMs current time
   * @return the completions to report
   */
  public List<TraitCompletion> completionsDisproving(
      Collection<TraitBlock> announced, long receivedAtMs, long nowMs) {
    List<TraitCompletion> result = new ArrayList<>();
    for (TraitBlock block : announced) {
      String trait = block.getTrait();
      long ownMs = completions.newestOwnMs(trait);
      if (ownMs > receivedAtMs - block.getEvidenceAgeMs()
          && completions.lastReportAtMs(trait) < receivedAtMs) {
        completions.recordReported(trait, ownMs, nowMs);
        result.add(new TraitCompletion(trait, nowMs - ownMs));
      }
    }
    return result;
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
      BlockState block =
          new BlockState(trait, startedAtMs, durationMs, nowMs - message.getEvidenceAgeMs());
      boolean isOlder =
          blocks.containsKey(trait) && blocks.get(trait).trialAtMs() >= block.trialAtMs();
      if (isOlder || block.isExpired(nowMs) || block.isDisprovedBy(completions.newestMs(trait))) {
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
    if (stale) {
      countCrashes();
    }
    observeManyCrashes();
    Optional<Suspect> cause = findCause();
    while (cause.isPresent()) {
      block(cause.get(), nowMs);
      countCrashes();
      cause = findCause();
    }
  }

  /**
   * Returns whether {@link #update} is to be called again soon, because it will decide on a trait
   * once more time has passed.
   */
  public boolean isUndecided() {
    return suspects.values().stream().anyMatch(Suspect::isInManyCrashes);
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

  /** Counts the crashes of each trait that no blocked trait explains. */
  private void countCrashes() {
    unexplained = new ArrayList<>(events.values());
    unexplained.removeIf(event -> blocks.keySet().stream().anyMatch(event::contains));
    unexplained.sort(Comparator.comparingLong(CrashEvent::seenAtMs));
    suspects = new HashMap<>();
    for (CrashEvent event : unexplained) {
      for (String trait : event.traits()) {
        long completedAtMs = completions.newestMs(trait);
        if (event.seenAtMs() > completedAtMs) {
          suspects.computeIfAbsent(trait, key -> new Suspect(key, completedAtMs)).add(event);
        }
      }
    }
    stale = false;
  }

  private void observeCompletion(long completedAtMs) {
    long gapMs = completedAtMs - newestCompletionMs;
    if (gapMs > 0) {
      activeMs += gapMs <= MAX_COMPLETION_GAP_MS ? gapMs : 0;
      newestCompletionMs = completedAtMs;
    }
  }

  private void observeManyCrashes() {
    activeMsAtManyCrashes
        .keySet()
        .removeIf(trait -> !suspects.containsKey(trait) || !suspects.get(trait).isInManyCrashes());
    suspects.values().stream()
        .filter(Suspect::isInManyCrashes)
        .forEach(suspect -> activeMsAtManyCrashes.putIfAbsent(suspect.trait(), activeMs));
  }

  private Optional<Suspect> findCause() {
    return suspects.values().stream()
        .filter(suspect -> suspect.isCause() || isAvoidedByCompletions(suspect))
        .filter(suspect -> !suspect.hasCompleted() || !isExplainedByOthers(suspect))
        .min(Suspect.MOST_SUSPECT_FIRST);
  }

  /** Returns whether others complete, so that the crashes were no loss of all servers at once. */
  private boolean isAvoidedByCompletions(Suspect suspect) {
    return suspect.isInManyCrashes()
        && activeMs - activeMsAtManyCrashes.getOrDefault(suspect.trait(), activeMs)
            >= OTHERS_COMPLETE_MS;
  }

  /**
   * Returns whether most crashes of a trait contain a prompt part that never completed and may be
   * their cause. Several deadly parts have few crashes each while their common part has many.
   */
  private boolean isExplainedByOthers(Suspect suspect) {
    return unexplained.stream()
            .filter(event -> suspect.groupsByServer().containsKey(event.server()))
            .filter(event -> event.traits().stream().noneMatch(this::isLikelyCause))
            .count()
        < MIN_CRASHES_AFTER_COMPLETION;
  }

  private boolean isLikelyCause(String trait) {
    return Optional.ofNullable(suspects.get(trait))
        .filter(other -> !other.hasCompleted() && other.isPromptPart())
        .filter(other -> other.groupsByServer().size() >= MIN_CRASHES_OF_LIKELY_CAUSE)
        .isPresent();
  }

  private void block(Suspect cause, long nowMs) {
    String trait = cause.trait();
    long durationMs = BlockState.FIRST_DURATION_MS;
    blocks.put(trait, new BlockState(trait, nowMs, durationMs, cause.firstSeenAtMs()));
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
                    suspect.hasCompleted(), Map.copyOf(suspect.groupsByServer()))));
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
