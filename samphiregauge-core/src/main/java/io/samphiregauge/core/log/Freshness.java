package io.samphiregauge.core.log;

import java.util.OptionalLong;

/**
 * Age of what an entry knows about the configuration; immutable. All times are on the clock of the
 * process.
 *
 * <p>Reports of an outage count for fencing only. A majority without log contact does not show that
 * the log is down: it may be cut off while the log accepts the withdrawal of a key.
 *
 * @param ownContactMs time before the last read of the log that left nothing unread
 * @param peerContactMs time before which a peer from which all records came had log contact
 * @param outageMs time of the oldest report in the last majority without log contact
 */
public record Freshness(
    OptionalLong ownContactMs, OptionalLong peerContactMs, OptionalLong outageMs) {
  /** Longest age of a contact with which keyed requests are served. */
  public static final long MAX_STALENESS_MS = 3_000;

  /** Age of the last contact at which the entry runs no ticket and uses no pieces. */
  public static final long SELF_FENCE_MS = 10_000;

  /**
   * Makes the freshness of a process that has had no contact.
   *
   * @return never fresh
   */
  public static Freshness none() {
    return new Freshness(OptionalLong.empty(), OptionalLong.empty(), OptionalLong.empty());
  }

  /**
   * Counts a read of the log. The log answered at some time after the request was sent, so the age
   * counts from the send.
   *
   * @param requestSentMs time before the request was sent
   * @return the next freshness
   */
  public Freshness withOwnContact(long requestSentMs) {
    return new Freshness(max(ownContactMs, requestSentMs), peerContactMs, outageMs);
  }

  /**
   * Counts a peer's records.
   *
   * @param requestSentMs time before this process asked the peer
   * @param contactAgeMs age of the peer's log contact when it answered
   * @return the next freshness
   */
  public Freshness withPeerContact(long requestSentMs, long contactAgeMs) {
    long contactMs = requestSentMs - contactAgeMs;
    return new Freshness(ownContactMs, max(peerContactMs, contactMs), outageMs);
  }

  /**
   * Counts a majority of members of whom none has log contact.
   *
   * @param oldestReportMs time of the oldest report among them
   * @return the next freshness
   */
  public Freshness withOutage(long oldestReportMs) {
    return new Freshness(ownContactMs, peerContactMs, max(outageMs, oldestReportMs));
  }

  /**
   * Tells whether keyed requests may be served.
   *
   * @param nowMs current time
   * @return true while the log contact of this process or of a peer is at most {@link
   *     #MAX_STALENESS_MS} old
   */
  public boolean isFresh(long nowMs) {
    return ageMs(logContactMs(), nowMs) <= MAX_STALENESS_MS;
  }

  /**
   * Tells whether the entry must run no ticket and use no pieces.
   *
   * @param nowMs current time
   * @return true from {@link #SELF_FENCE_MS} after the last contact on
   */
  public boolean isFenced(long nowMs) {
    return ageMs(lastContactMs(), nowMs) >= SELF_FENCE_MS;
  }

  /**
   * Returns the age of the own log contact.
   *
   * @param nowMs current time
   * @return milliseconds, or empty before the first contact
   */
  public OptionalLong ownContactAgeMs(long nowMs) {
    return ownContactMs.isPresent()
        ? OptionalLong.of(nowMs - ownContactMs.getAsLong())
        : OptionalLong.empty();
  }

  /**
   * Returns the time of the newest contact of any kind.
   *
   * @return the time, or empty before the first contact
   */
  public OptionalLong lastContactMs() {
    return max(logContactMs(), outageMs);
  }

  private OptionalLong logContactMs() {
    return max(ownContactMs, peerContactMs);
  }

  private static long ageMs(OptionalLong last, long nowMs) {
    return last.isPresent() ? nowMs - last.getAsLong() : Long.MAX_VALUE;
  }

  private static OptionalLong max(OptionalLong first, OptionalLong second) {
    return second.isPresent() ? max(first, second.getAsLong()) : first;
  }

  private static OptionalLong max(OptionalLong known, long time) {
    return OptionalLong.of(known.isPresent() ? Math.max(known.getAsLong(), time) : time);
  }
}
