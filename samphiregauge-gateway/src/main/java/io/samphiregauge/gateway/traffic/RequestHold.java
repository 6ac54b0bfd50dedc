package io.samphiregauge.gateway.traffic;

import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.admit.WaitPolicy;
import io.samphiregauge.core.queue.QueueDecision;
import io.samphiregauge.core.queue.QueuedRequest;
import io.samphiregauge.core.result.Failure;
import io.samphiregauge.core.site.SiteConfig;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * The waits of one request before it is sent: until it is known which software version may go on
 * with its stream, in the {@link WaitingRoom} while its service is full, and while every server
 * that could serve it has asked for a pause. Confined to one event loop.
 */
final class RequestHold implements QueuedCaller {
  /** Expected time of a response after the pause; the load of a server is then unknown. */
  private static final long MIN_RESPONSE_MS = 20;

  private final EventLoopContext context;
  private final RoutedRequest request;
  private final RequestDecisionLog log;
  private final StreamBinder streamBinder;
  private final Runnable resume;
  private final Consumer<ErrorResponse> refuse;
  private Optional<QueuedRequest> queued = Optional.empty();
  private boolean waiting;
  private boolean ended;

  /**
   * Creates the hold of a request that is not held.
   *
   * @param context state of the event loop
   * @param request the request
   * @param log log of the request
   * @param streamBinder finds the version of a stream that the caller resumes
   * @param resume makes the request look for a server
   * @param refuse ends the request with an error
   */
  RequestHold(
      EventLoopContext context,
      RoutedRequest request,
      RequestDecisionLog log,
      StreamBinder streamBinder,
      Runnable resume,
      Consumer<ErrorResponse> refuse) {
    this.context = context;
    this.request = request;
    this.log = log;
    this.streamBinder = streamBinder;
    this.resume = resume;
    this.refuse = refuse;
  }

  /**
   * Lets a request that has arrived look for a server, at once or when it is its turn.
   *
   * @param givesUpAtMs monotonic time in milliseconds at which the caller gives up
   */
  void enter(long givesUpAtMs) {
    streamBinder.resolve(
        refusal -> {
          if (!ended) {
            refusal.ifPresentOrElse(refuse, () -> enterQueue(givesUpAtMs));
          }
        });
  }

  private void enterQueue(long givesUpAtMs) {
    if (!context.waitingRoom().isEnabled()) {
      resume.run();
      return;
    }
    QueuedRequest entering = context.waitingRoom().describe(request, givesUpAtMs);
    queued = Optional.of(entering);
    context.waitingRoom().offer(entering, this);
  }

  @Override
  public void onWait(QueueDecision.Wait decision) {
    waiting = true;
    context.metrics().increment("waits");
    log.add(
        "wait_begun", "place=%d forecast_ms=%d".formatted(decision.place(), decision.forecastMs()));
  }

  @Override
  public void onSend(QueueDecision.Send decision) {
    logWaitEnd(decision.reason(), decision.waitedMs());
    resume.run();
  }

  @Override
  public void onRefuse(QueueDecision.Refuse decision) {
    String type = decision.reason().type();
    logWaitEnd(type, decision.waitedMs());
    logReturn(decision.forecastMs(), decision.returnAfterMs());
    refuse.accept(
        ErrorResponse.notRun(
            type, "The service has no room for the request in time.", decision.returnAfterMs()));
  }

  @Override
  public void onConfigChange(SiteConfig config) {
    if (RequestRouter.allows(config, request) || !end()) {
      return;
    }
    refuse.accept(
        ErrorResponse.notRun(
            "route_changed", "The configuration has changed while the request waited.", 0));
  }

  private void logWaitEnd(String reason, long waitedMs) {
    if (waiting) {
      waiting = false;
      context.metrics().recordDurationMs("wait", waitedMs);
      log.add("wait_ended", "cause=%s waited_ms=%d".formatted(reason, waitedMs));
    }
  }

  /** Returns an error with the time of return from the calendar, if the servers lack room. */
  ErrorResponse withReturnTime(ErrorResponse error) {
    if (queued.isEmpty() || !error.isLackOfRoom()) {
      return error;
    }
    long forecastMs = error.retryAfterMs();
    long returnAfterMs = context.waitingRoom().returnAfterMs(queued.orElseThrow(), forecastMs);
    logReturn(forecastMs, returnAfterMs);
    return ErrorResponse.notRun(error.type(), error.message(), returnAfterMs);
  }

  private void logReturn(long forecastMs, long returnAfterMs) {
    log.add("return_told", "forecast_ms=%d after_ms=%d".formatted(forecastMs, returnAfterMs));
  }

  /**
   * Holds a request that no server can take now until a server shows room, or the first pause ends,
   * whichever is earlier.
   *
   * @param failure {@link ServersPaused} if servers have asked for a pause, or the error to send
   * @param givesUpAtMs monotonic time in milliseconds at which the caller gives up
   * @return the error to send, or empty if the request is held
   */
  Optional<ErrorResponse> tryHold(Failure failure, long givesUpAtMs) {
    if (!(failure instanceof ServersPaused paused)) {
      return Optional.of((ErrorResponse) failure);
    }
    return hold(paused, givesUpAtMs)
        ? Optional.empty()
        : Optional.of(paused.asError(DualTimestamp.monotonicNowMs()));
  }

  private boolean hold(ServersPaused paused, long givesUpAtMs) {
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
    if (context.heldRequests().remove(request.service(), resume)) {
      resume.run();
    }
  }

  /**
   * Ends the waits of a request that has ended, whose place at a server is free now.
   *
   * @return whether the request was waiting for a place
   */
  boolean end() {
    ended = true;
    context.heldRequests().remove(request.service(), resume);
    boolean removed =
        queued
            .filter(known -> context.waitingRoom().remove(request.service(), known.work().number()))
            .isPresent();
    if (removed) {
      logWaitEnd("ended", DualTimestamp.monotonicNowMs() - request.arrivedAt().monotonicMs());
    }
    context.waitingRoom().onRoomChanged();
    return removed;
  }
}
