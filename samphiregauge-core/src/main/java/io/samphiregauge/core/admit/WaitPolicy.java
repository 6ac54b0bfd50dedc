package io.samphiregauge.core.admit;

/**
 * Decides whether a request waits at the entry while every server that could serve it has asked for
 * a pause. A pure function, without clock or I/O.
 *
 * <p>Load pattern: all servers of a service are full for seconds. A caller that is refused at once
 * may find room through another entry, which the servers have not asked to pause; one that is held
 * beyond its objective is late wherever it is answered.
 */
public final class WaitPolicy {
  private WaitPolicy() {}

  /**
   * Decides on a request.
   *
   * @param waitMs time until the first server may be contacted again
   * @param expectedMs expected time from then to the first byte of the response
   * @param objectiveMs remaining time in which the response is still on time
   * @param patienceMs time for which the caller still waits
   * @return whether to hold the request for {@code waitMs}; otherwise it is refused at once
   */
  public static boolean isWorthHolding(
      long waitMs, double expectedMs, long objectiveMs, long patienceMs) {
    return waitMs <= objectiveMs && waitMs + expectedMs <= patienceMs;
  }
}
