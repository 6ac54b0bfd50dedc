package io.samphiregauge.gateway.traffic;

import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.admit.WaitPolicy;

/**
 * Holds one request while every server that could serve it has asked for a pause, if the first
 * pause ends soon enough. Confined to one event loop.
 */
final class RequestHold {
  /** Expected time of a response after the pause; the load of a server is then unknown. */
  private static final long MIN_RESPONSE_MS = 20;

  private final EventLoopContext context;
  private final RoutedRequest request;
  private final RequestDecisionLog log;
  private final Runnable resume;

  /**
   * Creates the hold of a request that is not held.
   *
   * @param context state of the event loop
   * @param request the request
   * @param log log of the request
   * @param resume makes the request look for a server again
   */
  RequestHold(
      EventLoopContext context, RoutedRequest request, RequestDecisionLog log, Runnable resume) {
    this.context = context;
    this.request = request;
    this.log = log;
    this.resume = resume;
  }

  /**
   * Holds the request until a server shows room, or the first pause ends, whichever is earlier.
   *
   * @param paused when the first pause ends
   * @param givesUpAtMs monotonic time in milliseconds at which the caller gives up
   * @return whether it is held; otherwise it must be refused
   */
  boolean tryHold(ServersPaused paused, long givesUpAtMs) {
    long nowMs = DualTimestamp.monotonicNowMs();
    long objectiveAtMs = request.arrivedAt().monotonicMs() + request.route().targetLatencyMs();
    long waitMs = paused.waitMs(nowMs);
    if (!WaitPolicy.isWorthHolding(
        waitMs, MIN_RESPONSE_MS, objectiveAtMs - nowMs, givesUpAtMs - nowMs)) {
      return false;
    }
    log.add("held", "wait_ms=" + waitMs);
    context.heldRequests().add(request.service(), resume);
    context.schedule(waitMs, this::resumeByTimer);
    return true;
  }

  private void resumeByTimer() {
    if (end()) {
      resume.run();
    }
  }

  /** Ends the hold; returns whether the request was held. */
  boolean end() {
    return context.heldRequests().remove(request.service(), resume);
  }
}
