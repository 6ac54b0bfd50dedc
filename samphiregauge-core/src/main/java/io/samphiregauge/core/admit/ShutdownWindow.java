package io.samphiregauge.core.admit;

/**
 * The time of a planned stop, in which an entry still accepts some requests. Immutable.
 *
 * <p>Load pattern: callers with an older response of the directory keep sending requests for
 * seconds after the stop has begun. One that is still running when the process exits is lost, and
 * its caller cannot know whether it has run; a caller that is refused at once can ask another
 * entry.
 *
 * @param startedAtMs monotonic time at which the stop began, in milliseconds
 * @param endsAtMs monotonic time by which the last response must be sent, in milliseconds
 */
public record ShutdownWindow(long startedAtMs, long endsAtMs) {
  /**
   * Time in which requests are accepted whatever their deadline. The platform expects a stopping
   * process to accept requests for 3 s; the signal may reach this process late.
   */
  private static final long OPEN_MS = 2_500;

  /** Time that a response takes after the deadline of its request. */
  private static final long RESPONSE_MS = 100;

  /**
   * Decides whether a request is accepted: always early in the window, and later if it is answered
   * before the end whatever its server does.
   *
   * @param deadlineAtMs monotonic time of its deadline, in milliseconds
   * @param nowMs monotonic time in milliseconds
   * @return whether to accept it; otherwise it must be refused at once
   */
  public boolean accepts(long deadlineAtMs, long nowMs) {
    long openMs = Math.min(OPEN_MS, (endsAtMs - startedAtMs) / 2);
    return nowMs - startedAtMs < openMs || deadlineAtMs + RESPONSE_MS <= endsAtMs;
  }
}
