package io.samphiregauge.core.suspect;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;

/** A trait that is not blocked, with the unexplained crashes since its last completion. */
final class Suspect {
  /**
   * Orders traits by how well they explain their crashes: those that completed longest ago or never
   * first, then those in most crashes, then the most specific prompt part. A digest comes last,
   * because blocking only a request that its caller repeats would let other requests with the same
   * part crash servers.
   */
  static final Comparator<Suspect> MOST_SUSPECT_FIRST =
      Comparator.<Suspect>comparingLong(suspect -> suspect.completedAtMs)
          .thenComparing(Comparator.<Suspect>comparingInt(Suspect::countCrashes).reversed())
          .thenComparing(Comparator.<Suspect>comparingInt(suspect -> suspect.position).reversed())
          .thenComparing(suspect -> suspect.trait);

  private final String trait;
  private final long completedAtMs;
  private final Map<String, Integer> groupsByServer = new HashMap<>();
  private final Map<String, Integer> crashesByRequest = new HashMap<>();
  private int groups;
  private long groupStartMs;
  private int crashesOfGroup;
  private int crashes;
  private int position = CrashEvent.DIGEST_POSITION;
  private long manyCrashesAtMs = Long.MAX_VALUE;
  private long firstSeenAtMs;
  private long lastSeenAtMs;

  Suspect(String trait, long completedAtMs) {
    this.trait = trait;
    this.completedAtMs = completedAtMs;
  }

  /** Adds a crash, which must not be older than the ones added before. */
  void add(CrashEvent event) {
    if (groups == 0) {
      firstSeenAtMs = event.seenAtMs();
    }
    if (groups == 0 || event.seenAtMs() - groupStartMs > CrashAttribution.SIMULTANEOUS_MS) {
      groups++;
      groupStartMs = event.seenAtMs();
      crashesOfGroup = 0;
      crashesByRequest.clear();
    }
    int crashesBefore = crashesOfGroup;
    // A request that crashed several servers has crashed them one after another, however fast.
    event
        .digestsOf(trait)
        .forEach(digest -> crashesOfGroup = Math.max(crashesOfGroup, countCrash(digest)));
    crashes += crashesOfGroup - crashesBefore;
    groupsByServer.put(event.server(), groups);
    position = Math.max(position, event.position(trait));
    if (groupsByServer.size() == CrashAttribution.MIN_CRASHES_AFTER_COMPLETION) {
      manyCrashesAtMs = Math.min(manyCrashesAtMs, event.seenAtMs());
    }
    lastSeenAtMs = event.seenAtMs();
  }

  private int countCrash(String digest) {
    return crashesByRequest.merge(digest, 1, Integer::sum);
  }

  boolean hasCompleted() {
    return completedAtMs != CompletionHistory.NEVER;
  }

  /** Returns the number of crashes, where servers that crashed together count once. */
  int countCrashes() {
    // The servers that a request with a sound part was sent to may have been lost together.
    return hasCompleted() ? groups : crashes;
  }

  boolean isInManyCrashes() {
    return manyCrashesAtMs != Long.MAX_VALUE;
  }

  boolean isCause() {
    return countCrashes()
        >= (hasCompleted()
            ? CrashAttribution.MIN_CRASHES_AFTER_COMPLETION
            : CrashAttribution.MIN_CRASHES);
  }

  String trait() {
    return trait;
  }

  long firstSeenAtMs() {
    return firstSeenAtMs;
  }

  long lastSeenAtMs() {
    return lastSeenAtMs;
  }

  /**
   * Returns the servers that crashed, each with the number of its group of simultaneous crashes.
   */
  Map<String, Integer> groupsByServer() {
    return groupsByServer;
  }

  /** Returns whether this is a prompt part instead of the digest of a request. */
  boolean isPromptPart() {
    return position != CrashEvent.DIGEST_POSITION;
  }
}
