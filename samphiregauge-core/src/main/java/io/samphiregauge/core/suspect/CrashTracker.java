package io.samphiregauge.core.suspect;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Requests whose backend servers ended while they ran them. A request that has brought down several
 * servers and was never answered is kept from the others. Used by one thread.
 */
public final class CrashTracker {
  /** Servers that a request may bring down; the platform allows three. */
  private static final int MAX_CRASHES = 3;

  /** Requests that are remembered, the newest ones. */
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
   * Notes that a server ended while it ran a request.
   *
   * @param fingerprint digest of the request
   * @param server the server, with its start
   */
  public void recordCrash(String fingerprint, String server) {
    serversByRequest.computeIfAbsent(fingerprint, key -> new HashSet<>()).add(server);
  }

  /**
   * Notes that a request was answered, which clears it.
   *
   * @param fingerprint digest of the request
   */
  public void recordResponse(String fingerprint) {
    serversByRequest.remove(fingerprint);
  }

  /**
   * Returns whether a request is kept from the servers.
   *
   * @param fingerprint digest of the request
   * @return whether it has brought down too many servers
   */
  public boolean isBlocked(String fingerprint) {
    return serversByRequest.getOrDefault(fingerprint, Set.of()).size() >= MAX_CRASHES;
  }

  /** Returns whether no request is remembered, so that none needs a digest. */
  public boolean isEmpty() {
    return serversByRequest.isEmpty();
  }
}
