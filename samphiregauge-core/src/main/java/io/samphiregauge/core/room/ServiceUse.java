package io.samphiregauge.core.room;

/**
 * The places of a service that an entry counts on, and their use.
 *
 * @param servers number of servers that are expected to accept requests
 * @param places requests that the servers take at once
 * @param used known requests of all entries at these servers
 * @param own requests of this entry at these servers
 */
public record ServiceUse(int servers, int places, int used, int own) {
  /** Returns the known free places, which may be negative after a rush. */
  public int free() {
    return places - used;
  }

  /** Returns whether the service is known to be full. */
  public boolean isFull() {
    return servers > 0 && used >= places;
  }

  /**
   * Returns whether at most half of the places are used. Within the age of known loads the demand
   * does not fill the other half, so no entry needs to hold back.
   */
  boolean isHalfFree() {
    return 2 * used <= places;
  }
}
