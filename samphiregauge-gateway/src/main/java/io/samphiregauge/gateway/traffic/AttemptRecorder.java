package io.samphiregauge.gateway.traffic;

import io.samphiregauge.core.DualTimestamp;

/**
 * Records what the attempts of one request show of their servers, and when the request started to
 * run. Confined to one event loop.
 */
final class AttemptRecorder {
  private final EventLoopContext context;
  private final RoutedRequest request;
  private final RequestAccounting accounting;
  private final RequestDecisionLog log;
  private final CrashGuard crashGuard;

  AttemptRecorder(
      EventLoopContext context,
      RoutedRequest request,
      RequestDecisionLog log,
      CrashGuard crashGuard) {
    this.context = context;
    this.request = request;
    this.accounting = new RequestAccounting(context, request);
    this.log = log;
    this.crashGuard = crashGuard;
  }

  /** Counts the request, once, from the time at which an attempt was started. */
  void recordCounted(ForwardAttempt attempt) {
    accounting.recordStarted(attempt.startedAt());
  }

  /** Records the first evidence that a server runs the request; later calls have no effect. */
  void recordExecutionStarted(ForwardAttempt attempt) {
    crashGuard.reportBegun();
    if (accounting.recordStarted(DualTimestamp.now())) {
      log.addFirstEvent(attempt);
      attempt.recordPrefilled();
      recordPrefilled(attempt);
    }
  }

  /** Records that a server has prefilled the prompt. */
  void recordPrefilled(ForwardAttempt attempt) {
    attempt.recordFirstToken(context.engineRates(request.service()));
    recordResponse(attempt);
  }

  /** Records a response that is not a failure. */
  void recordResponse(ForwardAttempt attempt) {
    attempt.load().recordResponse(attempt.elapsedMs());
    request.prompt().ifPresent(prompt -> context.recordCachedPrompt(attempt.load(), prompt));
  }
}
