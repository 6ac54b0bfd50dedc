package io.samphiregauge.core.suspect;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Tracks requests whose backend servers crashed while running them, and blocks a request that has
 * crashed several servers without ever getting a response. Not thread-safe.
 */
public final class CrashTracker {
  /** Crashes after which a request is blocked; the platform tolerates three per request. */
  private static final int MAX_CRASHES = 3;

  /** Capacity in requests; the oldest ones are evicted. */
  private static final int MAX_REQUESTS = 1_024;

  private final Map<String, Set<String>> serversByRequest =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Set<String>> eldest) {
          return size() > MAX_REQUESTS;
        }
      };

  /**
   * Records that a server crashed while running a request. Several reports of one crash count once.
   *
   * @param fingerprint digest of the request
   * @param server incarnation of the server, which differs between its starts
   */
  public void recordCrash(String fingerprint, String server) {
    serversByRequest.computeIfAbsent(fingerprint, key -> new HashSet<>()).add(server);
  }

  /**
   * Records a response to a request, which removes all its crashes.
   *
   * @param fingerprint digest of the request
   */
  public void recordResponse(String fingerprint) {
    serversByRequest.remove(fingerprint);
  }

  /**
   * Returns whether a request must not be sent to any server.
   *
   * @param fingerprint digest of the request
   * @return true once it has crashed three servers without getting a response
   */
  public boolean isBlocked(String fingerprint) {
    return serversByRequest.getOrDefault(fingerprint, Set.of()).size() >= MAX_CRASHES;
  }

  /** Returns whether no crash is recorded, in which case callers can skip computing a digest. */
  public boolean isEmpty() {
    return serversByRequest.isEmpty();
  }
}
