package io.samphiregauge.core.dispatch;

import io.samphiregauge.core.TextHash;
import io.samphiregauge.core.backend.BackendServer;

/**
 * What one entry knows of a backend server from its own requests. Used by one traffic thread.
 *
 * <p>A server that fails several requests in a row is avoided for a time that doubles with each
 * further failure, and gets one request at a time until it answers again.
 */
public final class ServerLoad {
  private static final double LATENCY_WEIGHT = 0.2;
  private static final int FAILURES_UNTIL_AVOIDED = 2;
  private static final long FIRST_AVOIDANCE_MS = 500;
  private static final long MAX_AVOIDANCE_MS = 4_000;
  private static final double FAILURE_WEIGHT = 0.1;

  private BackendServer server;
  private final int key;
  private final PrefixCacheModel prefixCache;
  private int inFlight;
  private long promptTokens;
  private int otherEntriesInFlight;
  private long otherEntriesPromptTokens;
  private double latencyMs;
  private double failureRate;
  private int consecutiveFailures;
  private long avoidUntilMs = Long.MIN_VALUE;
  private boolean unreachable;

  /**
   * Makes the load of a server that nothing is known of.
   *
   * @param server the server
   * @param engineTokens tokens that its memory holds, 0 for a server that is no model engine
   * @param expectedMs latency that is assumed before the first answer
   */
  public ServerLoad(BackendServer server, long engineTokens, double expectedMs) {
    this.server = server;
    this.key = TextHash.crc32c(server.incarnation());
    this.prefixCache = new PrefixCacheModel(engineTokens);
    this.latencyMs = expectedMs;
  }

  /** Returns the server. */
  public BackendServer server() {
    return server;
  }

  /** Returns what messages between entries call the server in this start. */
  public int key() {
    return key;
  }

  /**
   * Takes over what the same start of the server announces now, such as another stage.
   *
   * @param announcement newest announcement
   * @return this load
   */
  public ServerLoad updateAnnouncement(BackendServer announcement) {
    server = announcement;
    return this;
  }

  /** Returns the prompt parts that the server probably caches. */
  public PrefixCacheModel prefixCache() {
    return prefixCache;
  }

  /** Returns the requests of this entry that the server has not answered. */
  public int inFlight() {
    return inFlight;
  }

  /** Returns the prompt tokens of this entry that the server has still to prefill. */
  public long promptTokens() {
    return promptTokens;
  }

  /** Returns the requests of all entries that the server has not answered, as far as known. */
  public int totalInFlight() {
    return inFlight + otherEntriesInFlight;
  }

  /** Returns the prompt tokens of all entries that the server has still to prefill. */
  public long totalPromptTokens() {
    return promptTokens + otherEntriesPromptTokens;
  }

  /**
   * Takes what other entries have under way at the server.
   *
   * @param requests their requests that it has not answered
   * @param tokens their prompt tokens that it has still to prefill
   */
  public void setOtherEntriesLoad(int requests, long tokens) {
    otherEntriesInFlight = requests;
    otherEntriesPromptTokens = tokens;
  }

  /** Returns the smoothed latency of its answers, in milliseconds. */
  public double latencyMs() {
    return latencyMs;
  }

  /** Returns the smoothed share of its answers that failed. */
  public double failureRate() {
    return failureRate;
  }

  /**
   * Notes that a request is sent.
   *
   * @param tokens prompt tokens that it has to prefill
   */
  public void recordSent(long tokens) {
    inFlight++;
    promptTokens += tokens;
  }

  /**
   * Notes that a prompt is prefilled, or never will be.
   *
   * @param tokens the tokens that were added when it was sent
   */
  public void recordPrefilled(long tokens) {
    promptTokens -= tokens;
  }

  /** Notes that a request has ended, in whatever way. */
  public void recordEnded() {
    inFlight--;
  }

  /**
   * Notes an answer.
   *
   * @param responseMs time from the request to the answer's start
   */
  public void recordResponse(long responseMs) {
    latencyMs += LATENCY_WEIGHT * (responseMs - latencyMs);
    failureRate -= FAILURE_WEIGHT * failureRate;
    consecutiveFailures = 0;
    unreachable = false;
    avoidUntilMs = Long.MIN_VALUE;
  }

  /**
   * Notes a request that the server failed or did not answer.
   *
   * @param nowMs monotonic time
   */
  public void recordFailure(long nowMs) {
    failureRate += FAILURE_WEIGHT * (1 - failureRate);
    consecutiveFailures++;
    if (consecutiveFailures >= FAILURES_UNTIL_AVOIDED) {
      avoid(nowMs);
    }
  }

  /**
   * Notes that no connection could be opened; the server is avoided at once.
   *
   * @param nowMs monotonic time
   */
  public void recordConnectFailure(long nowMs) {
    unreachable = true;
    consecutiveFailures = Math.max(consecutiveFailures + 1, FAILURES_UNTIL_AVOIDED);
    avoid(nowMs);
  }

  /** Returns whether the last connection could not be opened, and no answer came since. */
  public boolean isUnreachable() {
    return unreachable;
  }

  private void avoid(long nowMs) {
    int doublings = Math.min(consecutiveFailures - FAILURES_UNTIL_AVOIDED, 3);
    avoidUntilMs = nowMs + Math.min(MAX_AVOIDANCE_MS, FIRST_AVOIDANCE_MS << doublings);
  }

  /**
   * Returns whether other servers are to be preferred.
   *
   * @param nowMs monotonic time
   * @return whether the server failed lately and has not answered since
   */
  public boolean isAvoided(long nowMs) {
    return nowMs < avoidUntilMs || (consecutiveFailures >= FAILURES_UNTIL_AVOIDED && inFlight > 0);
  }
}
