package io.samphiregauge.core.room;

/** Why a backend server did not run a request, as far as its response shows. */
public enum RejectionCause {
  /** It rejected the request at once while it had at least as many as it runs concurrently. */
  FULL,
  /** It rejected the request at once although it should have had room. */
  BELOW_SLOTS,
  /** It rejected the request after a wait, as when the deadline passes in its queue. */
  AFTER_WAIT,
  /** It lacks the KV cache that the request was to continue from. */
  KV_CACHE_GONE,
  /** It leaves, or another server has its address. */
  NOT_SERVING;

  /**
   * A full server responds at once, and an entry with a slow processor handles the response up to
   * half a second later. With more time than this, the request was queued.
   */
  static final long MAX_IMMEDIATE_MS = 600;

  /**
   * Determines the cause of a rejection.
   *
   * @param serving whether the responding server is the expected one and does not leave
   * @param fromKvCache whether the request was to continue from a KV cache
   * @param elapsedMs time from choosing the server to the response
   * @param knownInFlight known requests of all entries that the server had
   * @param slots requests that the server runs concurrently
   * @return the cause
   */
  public static RejectionCause of(
      boolean serving, boolean fromKvCache, long elapsedMs, int knownInFlight, int slots) {
    if (!serving) {
      return NOT_SERVING;
    }
    if (fromKvCache) {
      return KV_CACHE_GONE;
    }
    if (elapsedMs > MAX_IMMEDIATE_MS) {
      return AFTER_WAIT;
    }
    return knownInFlight >= slots ? FULL : BELOW_SLOTS;
  }

  /** Returns whether the rejection tells something about the room of the server. */
  public boolean limitsRoom() {
    return this == FULL || this == BELOW_SLOTS;
  }
}
