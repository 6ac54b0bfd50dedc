package io.samphiregauge.core.queue;

/**
 * A request in a queue.
 *
 * @param request the request
 * @param arrival whether its caller was refused before
 * @param large whether it is among the largest tenth of its kind
 * @param sinceMs monotonic time in milliseconds since which it waits
 */
record Waiting(QueuedRequest request, Arrival arrival, boolean large, long sinceMs) {
  /** How a request relates to earlier refusals, in the order of preference. */
  enum Arrival {
    /** Its caller returns at the time that it was told. */
    RETURN,
    /** No refusal of its caller is known. */
    FIRST,
    /** Its caller was refused and repeats before the time that it was told. */
    EARLY_REPEAT
  }

  int rank() {
    return request.work().rank();
  }

  long number() {
    return request.work().number();
  }

  boolean isLate(long nowMs) {
    return request.work().objectiveAtMs() < nowMs;
  }
}
