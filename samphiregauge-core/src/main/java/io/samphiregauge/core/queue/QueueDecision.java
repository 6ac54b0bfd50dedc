package io.samphiregauge.core.queue;

/** What a queue decides on a request. */
public sealed interface QueueDecision {
  /** Returns the request. */
  QueuedRequest request();

  /**
   * The request is to be sent now.
   *
   * @param request the request
   * @param waitedMs time for which it has waited, in milliseconds
   * @param reason why it goes before the others, for the log
   */
  record Send(QueuedRequest request, long waitedMs, String reason) implements QueueDecision {}

  /**
   * The request waits.
   *
   * @param request the request
   * @param place requests of its rank or a more urgent one that wait, including itself
   * @param forecastMs time until it is expected to be sent, in milliseconds; 0 if unknown
   */
  record Wait(QueuedRequest request, int place, long forecastMs) implements QueueDecision {}

  /**
   * The request is to be refused.
   *
   * @param request the request
   * @param reason why, for the log and the caller
   * @param waitedMs time for which it has waited, in milliseconds
   * @param forecastMs time until it would have been sent, in milliseconds; 0 if unknown
   * @param returnAfterMs time after which its caller should return, in milliseconds
   * @param promised whether room is kept for the return
   */
  record Refuse(
      QueuedRequest request,
      Reason reason,
      long waitedMs,
      long forecastMs,
      long returnAfterMs,
      boolean promised)
      implements QueueDecision {}

  /** Why a request is refused. */
  enum Reason {
    /** It is not expected to be sent before its caller gives up. */
    HOPELESS("no_room"),
    /** Its caller was refused before and repeats before the time that it was told. */
    EARLY_REPEAT("early_repeat"),
    /** The queue is full of requests that go before it. */
    QUEUE_FULL("queue_full");

    private final String type;

    Reason(String type) {
      this.type = type;
    }

    /** Returns the machine-readable name. */
    public String type() {
      return type;
    }
  }
}
