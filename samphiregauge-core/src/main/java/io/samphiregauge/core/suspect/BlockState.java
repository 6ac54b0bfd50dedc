package io.samphiregauge.core.suspect;

import io.samphiregauge.schema.peer.TraitBlock;
import java.util.Optional;

/** State of a blocked trait. Not thread-safe. */
final class BlockState {
  /** Time from the begin of a block until the first trial. */
  static final long FIRST_DURATION_MS = 30_000;

  /** Longest time between two trials, and time after a missed trial at which a block expires. */
  static final long MAX_DURATION_MS = 600_000;

  /**
   * Growth of the time between trials. The platform tolerates three requests after a block: with
   * this factor the third trial takes place after 630 s, with a factor of 2 after 210 s.
   */
  private static final int DURATION_FACTOR = 4;

  /** The entries begin a block up to this much apart, since reports take time. */
  private static final long TRIAL_SLACK_MS = 1_000;

  private final String trait;
  private long startedAtMs;
  private long durationMs;
  private long evidenceFromMs;
  private boolean trialRunning;
  private TrialPermit permit = new TrialPermit();

  /**
   * Creates the state.
   *
   * @param trait the trait
   * @param startedAtMs time at which the block began
   * @param durationMs time until the first trial
   * @param evidenceFromMs time of the first crash that led to the block
   */
  BlockState(String trait, long startedAtMs, long durationMs, long evidenceFromMs) {
    this.trait = trait;
    this.startedAtMs = startedAtMs;
    this.durationMs = durationMs;
    this.evidenceFromMs = evidenceFromMs;
  }

  long durationMs() {
    return durationMs;
  }

  long trialAtMs() {
    return startedAtMs + durationMs;
  }

  boolean isExpired(long nowMs) {
    return nowMs >= expiresAtMs();
  }

  /** Returns whether a completion disproves the block. */
  boolean isDisprovedBy(long completedAtMs) {
    return completedAtMs > evidenceFromMs;
  }

  /** Returns whether a crash that was seen at the given time is the result of a trial. */
  boolean isTrialResult(long seenAtMs) {
    return seenAtMs > evidenceFromMs && (trialRunning || seenAtMs >= trialAtMs() - TRIAL_SLACK_MS);
  }

  /** Prolongs the block after a trial crashed its server. */
  void renew(long crashSeenAtMs, long nowMs) {
    startedAtMs = nowMs;
    durationMs = Math.min(durationMs * DURATION_FACTOR, MAX_DURATION_MS);
    evidenceFromMs = crashSeenAtMs;
    trialRunning = false;
    permit = new TrialPermit();
  }

  /** Records that this entry runs a trial; without a result the next one follows as late. */
  void startTrial(long nowMs) {
    startedAtMs = nowMs;
    trialRunning = true;
    permit = new TrialPermit();
  }

  CrashSuspects.BlockedTrait snapshot(boolean ownsTrial) {
    return new CrashSuspects.BlockedTrait(
        trialAtMs(), durationMs, expiresAtMs(), ownsTrial ? Optional.of(permit) : Optional.empty());
  }

  TraitBlock toMessage(long nowMs) {
    return new TraitBlock(trait, nowMs - startedAtMs, durationMs, nowMs - evidenceFromMs);
  }

  private long expiresAtMs() {
    return trialAtMs() + MAX_DURATION_MS;
  }
}
