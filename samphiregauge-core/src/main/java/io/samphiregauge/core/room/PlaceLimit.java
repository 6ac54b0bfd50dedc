package io.samphiregauge.core.room;

/**
 * The number of requests that one backend server takes at once, learned from what it rejects. Times
 * are monotonic milliseconds. Confined to one thread.
 *
 * <p>A server announces how many requests it runs concurrently, but not how many more it queues.
 * The limit falls by a fifth with a rejection and rises by one for each round of accepted requests
 * while the server is nearly full: the true limit is constant or changes rarely, so that a
 * rejection mostly shows how far the known loads lag behind.
 */
public final class PlaceLimit {
  /**
   * Places per slot before the first rejection: one request that runs and one that waits. A round
   * of waiting requests keeps a server busy until places are given back; more only wait longer.
   */
  static final int MAX_PLACES_PER_SLOT = 2;

  private static final double DECREASE = 0.8;

  /** Share of the limit from which an accepted request shows that the limit may be higher. */
  private static final double NEARLY_FULL = 0.8;

  /** Time without new requests after a rejection; in it a full server ends some of its requests. */
  private static final long FULL_PAUSE_MS = 50;

  /** Pause after the rejection by a server that should have room: it takes requests no sooner. */
  private static final long CLOSED_PAUSE_MS = 400;

  private static final int MAX_PAUSE_DOUBLINGS = 3;

  private final int slots;
  private double limit;
  private int rejections;
  private long pausedUntilMs = Long.MIN_VALUE;
  private long decreasedAtMs = Long.MIN_VALUE;

  /**
   * Creates the limit of a server that has rejected nothing.
   *
   * @param slots requests that the server runs concurrently
   */
  public PlaceLimit(int slots) {
    this.slots = Math.max(1, slots);
    this.limit = maxPlaces();
  }

  private int maxPlaces() {
    return slots * MAX_PLACES_PER_SLOT;
  }

  /** Returns the number of requests that the server is expected to take at once. */
  public int places() {
    return (int) limit;
  }

  /** Returns whether the server has rejected a request a moment ago. */
  public boolean isPaused(long nowMs) {
    return nowMs < pausedUntilMs;
  }

  /**
   * Records that the server rejected a request for lack of room.
   *
   * @param cause why it rejected the request
   * @param sentAtMs time at which the request was sent
   * @param maxAgeMs age that known loads can reach; rejections in that time have one cause
   * @param nowMs current time
   */
  public void recordRejection(RejectionCause cause, long sentAtMs, long maxAgeMs, long nowMs) {
    if (sentAtMs < pausedUntilMs) {
      // Sent before the last rejection was known.
      return;
    }
    long firstPauseMs = cause == RejectionCause.FULL ? FULL_PAUSE_MS : CLOSED_PAUSE_MS;
    pausedUntilMs = nowMs + (firstPauseMs << Math.min(rejections, MAX_PAUSE_DOUBLINGS));
    rejections++;
    if (decreasedAtMs == Long.MIN_VALUE || nowMs - decreasedAtMs > maxAgeMs) {
      decreasedAtMs = nowMs;
      limit = Math.max(slots, limit * DECREASE);
    }
  }

  /**
   * Records that the server accepted a request.
   *
   * @param sentAtMs time at which the request was sent
   * @param inFlight known requests of all entries that the server had
   */
  public void recordAccepted(long sentAtMs, int inFlight) {
    if (sentAtMs >= pausedUntilMs) {
      rejections = 0;
    }
    if (inFlight >= limit * NEARLY_FULL) {
      limit = Math.min(maxPlaces(), limit + 1 / limit);
    }
  }
}
