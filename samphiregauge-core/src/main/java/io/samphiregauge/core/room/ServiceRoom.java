package io.samphiregauge.core.room;

/** Tells how much more work the backend servers of a service can take from this entry. */
@FunctionalInterface
public interface ServiceRoom {
  /**
   * Returns how many more requests this entry may send to a service now.
   *
   * @param service name of the service
   * @param nowMs monotonic time in milliseconds
   * @return the number of requests; 0 if the service is full
   */
  int freePlaces(String service, long nowMs);
}
