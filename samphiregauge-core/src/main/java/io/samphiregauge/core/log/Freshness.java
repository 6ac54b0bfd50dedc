package io.samphiregauge.core.log;

import java.util.OptionalLong;

/**
 * Tracks how recent the configuration of an entry is; immutable. All times are in milliseconds on
 * the monotonic clock of the process.
 *
 * <p>Outage reports count for fencing only. A majority without log contact does not prove that the
 * log is down: the majority may be partitioned from a log that accepts the withdrawal of an API
 * key.
 *
 * @param ownContactMs send time of the last log read that reached the end of the log
 * @param peerContactMs lower bound of the time of the last log contact of a peer that relayed all
 *     of its records
 * @param outageMs time of the oldest report in the last majority without log contact
 */
public record Freshness(
    OptionalLong ownContactMs, OptionalLong peerContactMs, OptionalLong outageMs) {
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
    return new Freshness(OptionalLong.empty(), OptionalLong.empty(), OptionalLong.empty());
  }

  /**
   * Records a log read that reached the end of the log. The log may have read its records at any
   * time after the request was sent, so the age counts from the send time.
   *
   * @param requestSentMs time at which the request was sent
   * @return the next freshness
   */
  public Freshness withOwnContact(long requestSentMs) {
    return new Freshness(max(ownContactMs, requestSentMs), peerContactMs, outageMs);
  }

  /**
   * Records that a peer relayed all of its records.
   *
   * @param requestSentMs time at which the request to the peer was sent
   * @param contactAgeMs age of the peer's log contact when it sent the response
   * @return the next freshness
   */
  public Freshness withPeerContact(long requestSentMs, long contactAgeMs) {
    long contactMs = requestSentMs - contactAgeMs;
    return new Freshness(ownContactMs, max(peerContactMs, contactMs), outageMs);
  }

  /**
   * Records that a majority of the members reported that they have no log contact.
   *
   * @param oldestReportMs time of the oldest report among them
   * @return the next freshness
   */
  public Freshness withOutage(long oldestReportMs) {
    return new Freshness(ownContactMs, peerContactMs, max(outageMs, oldestReportMs));
  }

  /**
   * Returns whether requests with an API key may be served.
   *
   * @param nowMs current time
   * @return true if the last log contact of this process or of a peer is at most {@link
   *     #MAX_STALENESS_MS} old
   */
  public boolean isFresh(long nowMs) {
    return ageMs(logContactMs(), nowMs) <= MAX_STALENESS_MS;
  }

  /**
   * Returns whether the entry is fenced and must neither run tickets nor use pieces.
   *
   * @param nowMs current time
   * @return true if the last contact is at least {@link #SELF_FENCE_MS} old
   */
  public boolean isFenced(long nowMs) {
    return ageMs(lastContactMs(), nowMs) >= SELF_FENCE_MS;
  }

  /**
   * Returns the age of the last log contact of this process itself.
   *
   * @param nowMs current time
   * @return age in milliseconds, or empty before the first contact
   */
  public OptionalLong ownContactAgeMs(long nowMs) {
    return ownContactMs.isPresent()
        ? OptionalLong.of(nowMs - ownContactMs.getAsLong())
        : OptionalLong.empty();
  }

  /**
   * Returns the time of the newest contact, including outage reports.
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
