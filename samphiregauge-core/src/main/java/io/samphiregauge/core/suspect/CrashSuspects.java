package io.samphiregauge.core.suspect;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * A snapshot of the traits that crash servers, for the threads that forward requests. Thread-safe.
 *
 * <pre>{@code
 * if (!suspects.isEmpty()) {
 *   Optional<CrashSuspects.Block> block = suspects.blockOf(traits, nowMs);
 *   if (block.isPresent()) {
 *     Optional<String> trial = suspects.tryStartTrial(traits, nowMs);
 *     trial.ifPresentOrElse(callbacks.onTrialStarted(), () -> refuse(block.get()));
 *   }
 * }
 * }</pre>
 */
public final class CrashSuspects {
  private static final CrashSuspects NONE = new CrashSuspects(Map.of(), Map.of());

  /** Crashes of a trait on other servers after which its requests are not sent again. */
  private static final int MAX_OTHER_CRASHES = 1;

  private final Map<String, BlockedTrait> blocks;
  private final Map<String, SuspectedTrait> suspects;

  /**
   * The reason for which a request is refused.
   *
   * @param trait the blocked trait
   * @param retryAfterMs time until one request with the trait may be sent as a trial, in
   *     milliseconds
   */
  public record Block(String trait, long retryAfterMs) {}

  /**
   * A blocked trait.
   *
   * @param trialAtMs time of the earliest trial
   * @param durationMs time between two trials, in milliseconds
   * @param expiresAtMs time at which the block ends because no entry reported anything
   * @param permit permit for the trial, if this entry is to run it
   */
  record BlockedTrait(
      long trialAtMs, long durationMs, long expiresAtMs, Optional<TrialPermit> permit) {}

  /**
   * A trait that is not blocked, but was in requests that were lost in unexplained crashes.
   *
   * @param completed whether any request with the trait is known to have completed
   * @param groupsByServer crashed servers, with the number of the crash; servers that crashed at
   *     the same time have the same number
   */
  record SuspectedTrait(boolean completed, Map<String, Integer> groupsByServer) {
    private boolean wasLostOnOther(String server) {
      return groupsByServer.keySet().stream().anyMatch(other -> !other.equals(server));
    }

    private long countOtherCrashes(String server) {
      Optional<Integer> own = Optional.ofNullable(groupsByServer.get(server));
      return groupsByServer.values().stream()
          .filter(group -> own.filter(group::equals).isEmpty())
          .distinct()
          .count();
    }
  }

  CrashSuspects(Map<String, BlockedTrait> blocks, Map<String, SuspectedTrait> suspects) {
    this.blocks = Map.copyOf(blocks);
    this.suspects = Map.copyOf(suspects);
  }

  /** Returns a snapshot without suspects. */
  public static CrashSuspects none() {
    return NONE;
  }

  /**
   * Returns whether no trait is blocked or suspected, in which case callers can skip computing the
   * traits of a request.
   */
  public boolean isEmpty() {
    return blocks.isEmpty() && suspects.isEmpty();
  }

  /**
   * Returns why a request must not be sent to any server.
   *
   * @param traits traits of the request
   * @param nowMs current monotonic time
   * @return the block that ends last; empty if the request may be sent
   */
  public Optional<Block> blockOf(RequestTraits traits, long nowMs) {
    return blockedTraits(traits, nowMs).stream()
        .map(trait -> new Block(trait, retryAfterMs(blocks.get(trait), nowMs)))
        .max((a, b) -> Long.compare(a.retryAfterMs(), b.retryAfterMs()));
  }

  /** After the earliest trial, its result is unknown for up to the time until the next one. */
  private static long retryAfterMs(BlockedTrait block, long nowMs) {
    return block.trialAtMs() > nowMs ? block.trialAtMs() - nowMs : block.durationMs();
  }

  /**
   * Permits a blocked request as a trial, which shows whether its trait still crashes servers. At
   * most one entry permits one request at a time. After success the caller reports the trial to the
   * control thread, then sends the request to a single server.
   *
   * @param traits traits of a request that is blocked
   * @param nowMs current monotonic time
   * @return the blocked trait that is tried; empty if the request must be refused
   */
  public Optional<String> tryStartTrial(RequestTraits traits, long nowMs) {
    List<String> blocked = blockedTraits(traits, nowMs);
    if (blocked.size() != 1) {
      // The result of a request with two blocked traits would not tell which one is deadly.
      return Optional.empty();
    }
    BlockedTrait block = blocks.get(blocked.get(0));
    return block.trialAtMs() <= nowMs && block.permit().filter(TrialPermit::tryAcquire).isPresent()
        ? Optional.of(blocked.get(0))
        : Optional.empty();
  }

  private List<String> blockedTraits(RequestTraits traits, long nowMs) {
    return traits.values().stream()
        .distinct()
        .filter(trait -> blocks.containsKey(trait) && blocks.get(trait).expiresAtMs() > nowMs)
        .toList();
  }

  /**
   * Returns whether a request whose server crashed may be sent to another server. It may not if it
   * was lost on another server before, or if one of its traits is a likely cause: a trait that
   * never completed and was lost in another crash, or any trait that was lost in several other
   * ones. Servers that crashed at the same time count once for a prompt part.
   *
   * @param traits traits of the request
   * @param server incarnation of the server that crashed while running it
   */
  public boolean mayResend(RequestTraits traits, String server) {
    for (String trait : traits.values()) {
      if (blocks.containsKey(trait)) {
        return false;
      }
      SuspectedTrait suspect = suspects.get(trait);
      if (suspect == null) {
        continue;
      }
      long otherCrashes = suspect.countOtherCrashes(server);
      if (otherCrashes > MAX_OTHER_CRASHES || (otherCrashes > 0 && !suspect.completed())) {
        return false;
      }
      if (trait.equals(traits.digest()) && suspect.wasLostOnOther(server)) {
        return false;
      }
    }
    return true;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof CrashSuspects that
        && blocks.equals(that.blocks)
        && suspects.equals(that.suspects);
  }

  @Override
  public int hashCode() {
    return Objects.hash(blocks, suspects);
  }
}
