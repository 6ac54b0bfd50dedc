package io.samphiregauge.core.log;

import io.samphiregauge.core.DualTimestamp;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Tracks how recent the configuration of an entry is; immutable. Ages count on the clock that
 * advanced further, because the monotonic clock stops while a VM is suspended.
 *
 * <p>Outage reports count for fencing only. A majority without log contact does not prove that the
 * log is down: the majority may be partitioned from a log that accepts the withdrawal of an API
 * key.
 *
 * @param ownContactAt send time of the last log read that reached the end of the log
 * @param peerContactAt lower bound of the time of the last log contact of a peer that relayed all
 *     of its records
 * @param outageAt time of the oldest report in the last majority without log contact
 */
public record Freshness(
    Optional<DualTimestamp> ownContactAt,
    Optional<DualTimestamp> peerContactAt,
    Optional<DualTimestamp> outageAt) {
  /** Maximum age of the last log contact for which requests with an API key are served. */
  public static final long MAX_STALENESS_MS = 3_000;

  /** Age of the last contact at which the entry stops running tickets and using pieces. */
  public static final long SELF_FENCE_MS = 10_000;

  /**
   * Creates the freshness of a process without any contact.
   *
   * @return a value that is fenced and not fresh at any time
   */
  public static Freshness none() {
    return new Freshness(Optional.empty(), Optional.empty(), Optional.empty());
  }

  /**
   * Records a log read that reached the end of the log. The log may have read its records at any
   * time after the request was sent, so the age counts from the send time.
   *
   * @param requestSentAt time at which the request was sent
   * @return the next freshness
   */
  public Freshness withOwnContact(DualTimestamp requestSentAt) {
    return new Freshness(latest(ownContactAt, requestSentAt), peerContactAt, outageAt);
  }

  /**
   * Records that a peer relayed all of its records.
   *
   * @param requestSentAt time at which the request to the peer was sent
   * @param contactAgeMs age of the peer's log contact when it sent the response
   * @return the next freshness
   */
  public Freshness withPeerContact(DualTimestamp requestSentAt, long contactAgeMs) {
    DualTimestamp contactAt = requestSentAt.minusMs(contactAgeMs);
    return new Freshness(ownContactAt, latest(peerContactAt, contactAt), outageAt);
  }

  /**
   * Records that a majority of the members reported that they have no log contact.
   *
   * @param oldestReportAt time of the oldest report among them
   * @return the next freshness
   */
  public Freshness withOutage(DualTimestamp oldestReportAt) {
    return new Freshness(ownContactAt, peerContactAt, latest(outageAt, oldestReportAt));
  }

  /**
   * Returns whether requests with an API key may be served.
   *
   * @param now current time
   * @return true if the last log contact of this process or of a peer is at most {@link
   *     #MAX_STALENESS_MS} old
   */
  public boolean isFresh(DualTimestamp now) {
    return logContactAgeMs(now) <= MAX_STALENESS_MS;
  }

  /**
   * Returns whether the entry is fenced and must neither run tickets nor use pieces.
   *
   * @param now current time
   * @return true if the last contact is at least {@link #SELF_FENCE_MS} old
   */
  public boolean isFenced(DualTimestamp now) {
    return Math.min(logContactAgeMs(now), ageMs(outageAt, now)) >= SELF_FENCE_MS;
  }

  /**
   * Returns the age of the last log contact of this process itself.
   *
   * @param now current time
   * @return age in milliseconds, or empty before the first contact
   */
  public OptionalLong ownContactAgeMs(DualTimestamp now) {
    return ownContactAt.isPresent()
        ? OptionalLong.of(now.millisSince(ownContactAt.get()))
        : OptionalLong.empty();
  }

  /**
   * Returns the time of the last log contact of this process itself on the monotonic clock.
   *
   * @return time in milliseconds, or empty before the first contact
   */
  public OptionalLong ownContactMs() {
    return ownContactAt.isPresent()
        ? OptionalLong.of(ownContactAt.get().monotonicMs())
        : OptionalLong.empty();
  }

  private long logContactAgeMs(DualTimestamp now) {
    return Math.min(ageMs(ownContactAt, now), ageMs(peerContactAt, now));
  }

  private static long ageMs(Optional<DualTimestamp> last, DualTimestamp now) {
    return last.map(now::millisSince).orElse(Long.MAX_VALUE);
  }

  private static Optional<DualTimestamp> latest(
      Optional<DualTimestamp> known, DualTimestamp candidate) {
    return known.filter(time -> candidate.millisSince(time) < 0).or(() -> Optional.of(candidate));
  }
}
