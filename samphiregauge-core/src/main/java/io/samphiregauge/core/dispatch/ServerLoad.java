package io.samphiregauge.core.dispatch;

import io.samphiregauge.core.TextHash;
import io.samphiregauge.core.backend.BackendServer;
import io.samphiregauge.schema.peer.ServerSpeed;
import java.util.Optional;

/**
 * Tracks the load and health of a backend server as seen by one entry. Confined to one traffic
 * thread.
 *
 * <p>A server that fails several consecutive requests is avoided for a period that doubles with
 * each further failure. After that it receives one request at a time until it responds again.
 */
public final class ServerLoad {
  private static final double LATENCY_WEIGHT = 0.2;
  private static final int FAILURES_UNTIL_AVOIDED = 2;
  private static final long FIRST_AVOIDANCE_MS = 500;
  private static final long MAX_AVOIDANCE_MS = 4_000;
  private static final double FAILURE_WEIGHT = 0.1;

  /** Relative change of the slowness for one response. */
  private static final double SLOWNESS_STEP = 0.05;

  /** Responses of all entries below which they say nothing about the server. */
  private static final int MIN_FLEET_RESPONSES = 3;

  /** Usual responses that are added, so that a single late one does not mark a server as slow. */
  private static final double FLEET_PRIOR = 2;

  /** Part of the way back to the usual speed for each period of the load exchange. */
  private static final double FLEET_RECOVERY_STEP = 0.2;

  private static final double MIN_SLOWNESS = 0.5;
  private static final double MAX_SLOWNESS = 4;

  private BackendServer server;
  private final int key;
  private final PrefixCacheModel prefixCache;
  private int inFlight;
  private long promptTokens;
  private int otherEntriesInFlight;
  private long otherEntriesPromptTokens;
  private double latencyMs;
  private double failureRate;
  private double slowness = 1;
  private final SpeedSamples speedSamples = new SpeedSamples();
  private double fleetSlowness = 1;
  private int consecutiveFailures;
  private long avoidUntilMs = Long.MIN_VALUE;
  private boolean unreachable;
  private final boolean engine;
  private int newResponses;
  private int newFailures;
  private double newExcessMs;

  /**
   * Creates the load of a server without any requests.
   *
   * @param server the server
   * @param engineTokens KV memory of the engine in tokens; 0 if the server is not a model engine
   * @param expectedMs latency assumed before the first response, in milliseconds
   */
  public ServerLoad(BackendServer server, long engineTokens, double expectedMs) {
    this.server = server;
    this.key = TextHash.crc32c(server.incarnation());
    this.prefixCache = new PrefixCacheModel(engineTokens);
    this.engine = engineTokens > 0;
    this.latencyMs = expectedMs;
  }

  /**
   * What was seen of a server since the last call of {@link #takeObservations}.
   *
   * @param responses number of responses whose time is known
   * @param failures number of failed requests
   * @param excessMs sum of the times of the responses, in milliseconds; for an engine only the part
   *     beyond what was expected of its service
   */
  public record Observations(int responses, int failures, double excessMs) {}

  /** Returns what was seen since the last call. */
  public Observations takeObservations() {
    Observations taken = new Observations(newResponses, newFailures, newExcessMs);
    newResponses = 0;
    newFailures = 0;
    newExcessMs = 0;
    return taken;
  }

  private void observe(double excessMs) {
    newResponses++;
    newExcessMs += excessMs;
  }

  /** Returns whether the server is a model engine. */
  public boolean isEngine() {
    return engine;
  }

  /** Returns the server as last announced. */
  public BackendServer server() {
    return server;
  }

  /** Returns the key that identifies this incarnation of the server in messages between entries. */
  public int key() {
    return key;
  }

  /**
   * Replaces the announcement of the same incarnation, for example after a change of its stage.
   *
   * @param announcement latest announcement
   * @return this load
   */
  public ServerLoad updateAnnouncement(BackendServer announcement) {
    server = announcement;
    return this;
  }

  /** Returns the estimated prompt cache of the server. */
  public PrefixCacheModel prefixCache() {
    return prefixCache;
  }

  /** Returns the number of requests of this entry that are in flight. */
  public int inFlight() {
    return inFlight;
  }

  /** Returns the prompt tokens of this entry that the server has not yet prefilled. */
  public long promptTokens() {
    return promptTokens;
  }

  /**
   * Returns the number of in-flight requests of all entries; those of other entries are as of the
   * last load exchange.
   */
  public int totalInFlight() {
    return inFlight + otherEntriesInFlight;
  }

  /** Returns the prompt tokens of all entries that the server has not yet prefilled. */
  public long totalPromptTokens() {
    return promptTokens + otherEntriesPromptTokens;
  }

  /**
   * Sets the load that other entries place on the server.
   *
   * @param requests number of their requests in flight
   * @param tokens their prompt tokens that the server has not yet prefilled
   */
  public void setOtherEntriesLoad(int requests, long tokens) {
    otherEntriesInFlight = requests;
    otherEntriesPromptTokens = tokens;
  }

  /** Returns the smoothed response latency, in milliseconds. */
  public double latencyMs() {
    return latencyMs;
  }

  /**
   * Returns the time that this server takes relative to the other servers of its service; above 1
   * if it is slower.
   */
  public double slowness() {
    return Math.max(MIN_SLOWNESS, Math.min(MAX_SLOWNESS, slowness * fleetSlowness));
  }

  /**
   * Ends a period of the load exchange.
   *
   * @return how fast the server answered this entry within the last second, or empty if it did not
   */
  public Optional<ServerSpeed> endSpeedPeriod() {
    SpeedSamples.Sum sum = speedSamples.endPeriod();
    return sum.responses() == 0
        ? Optional.empty()
        : Optional.of(new ServerSpeed(key, sum.responses(), sum.slownessSum()));
  }

  /**
   * Sets how fast the server answered all entries within the last second. Without enough responses
   * the server counts as usual again by steps, so that not all entries return to it at once.
   *
   * @param responses number of responses
   * @param slownessSum sum of their times, each relative to what this entry would have expected
   */
  public void setFleetSpeed(int responses, double slownessSum) {
    double target =
        responses >= MIN_FLEET_RESPONSES
            ? Math.max(1, Math.min(MAX_SLOWNESS, meanSlowness(responses, slownessSum)))
            : 1;
    double step = target > fleetSlowness ? 1 : FLEET_RECOVERY_STEP;
    fleetSlowness += step * (target - fleetSlowness);
  }

  private static double meanSlowness(int responses, double slownessSum) {
    return (slownessSum + FLEET_PRIOR) / (responses + FLEET_PRIOR);
  }

  /** Records how fast the server was, for the other entries. */
  void recordSpeedSample(double tookMs, double expectedMs) {
    speedSamples.record(tookMs / Math.max(1, expectedMs));
  }

  /**
   * Records how fast the server was. Follows the median, between one half and four.
   *
   * @param tookMs time that it took, in milliseconds
   * @param expectedMs time that its service was expected to take, in milliseconds
   */
  void recordSpeed(double tookMs, double expectedMs) {
    // A slow server is no sign of a slow link to its failure domain.
    observe(tookMs - expectedMs * Math.max(1, slowness()));
    recordSpeedSample(tookMs, expectedMs * slowness);
    double ratio = tookMs / Math.max(1, expectedMs);
    double step = 1 + SLOWNESS_STEP * Math.signum(ratio - slowness);
    slowness = Math.max(MIN_SLOWNESS, Math.min(MAX_SLOWNESS, slowness * step));
  }

  /** Returns the expected latency of one more request, with its wait for a slot. */
  public double expectedMs() {
    return latencyMs + slotWaitMs(latencyMs);
  }

  /**
   * Returns the expected wait of one more request for a slot.
   *
   * @param requestMs time for which a request takes a slot, in milliseconds
   * @return the wait in milliseconds; 0 while slots are free
   */
  public double slotWaitMs(double requestMs) {
    int slots = Math.max(1, server.slots());
    return requestMs * Math.max(0, totalInFlight() + 1 - slots) / slots;
  }

  /** Returns the smoothed fraction of failed requests, from 0 to 1. */
  public double failureRate() {
    return failureRate;
  }

  /**
   * Records that a request is sent.
   *
   * @param tokens prompt tokens that the server has to prefill
   */
  public void recordSent(long tokens) {
    inFlight++;
    promptTokens += tokens;
  }

  /**
   * Records that a prompt is prefilled or its prefill is cancelled.
   *
   * @param tokens the tokens that were recorded when the request was sent
   */
  public void recordPrefilled(long tokens) {
    promptTokens -= tokens;
  }

  /** Records that a request has ended, successfully or not. */
  public void recordEnded() {
    inFlight--;
  }

  /**
   * Records a response that is not a failure; the server is no longer avoided.
   *
   * @param responseMs time from sending the request to the start of the response
   */
  public void recordResponse(long responseMs) {
    if (!engine) {
      observe((double) responseMs);
    }
    latencyMs += LATENCY_WEIGHT * (responseMs - latencyMs);
    failureRate -= FAILURE_WEIGHT * failureRate;
    consecutiveFailures = 0;
    unreachable = false;
    avoidUntilMs = Long.MIN_VALUE;
  }

  /**
   * Records a request that failed or received no response.
   *
   * @param nowMs monotonic time in milliseconds
   */
  public void recordFailure(long nowMs) {
    newFailures++;
    failureRate += FAILURE_WEIGHT * (1 - failureRate);
    consecutiveFailures++;
    if (consecutiveFailures >= FAILURES_UNTIL_AVOIDED) {
      avoid(nowMs);
    }
  }

  /**
   * Records a failed connection attempt; the server is avoided at once.
   *
   * @param nowMs monotonic time in milliseconds
   */
  public void recordConnectFailure(long nowMs) {
    newFailures++;
    unreachable = true;
    consecutiveFailures = Math.max(consecutiveFailures + 1, FAILURES_UNTIL_AVOIDED);
    avoid(nowMs);
  }

  /** Returns whether a connection attempt failed and no response was received since. */
  public boolean isUnreachable() {
    return unreachable;
  }

  private void avoid(long nowMs) {
    int doublings = Math.min(consecutiveFailures - FAILURES_UNTIL_AVOIDED, 3);
    avoidUntilMs = nowMs + Math.min(MAX_AVOIDANCE_MS, FIRST_AVOIDANCE_MS << doublings);
  }

  /**
   * Returns whether other servers are preferred over this one.
   *
   * @param nowMs monotonic time in milliseconds
   * @return whether consecutive recent requests failed and the server has not responded since
   */
  public boolean isAvoided(long nowMs) {
    return nowMs < avoidUntilMs || (consecutiveFailures >= FAILURES_UNTIL_AVOIDED && inFlight > 0);
  }
}
