package io.samphiregauge.gateway.traffic;

import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.dispatch.ServerLoad;
import io.samphiregauge.core.suspect.CrashSuspects;
import io.samphiregauge.core.suspect.RequestTraits;
import java.util.Optional;

/**
 * Keeps one request from servers that it would crash: decides whether it may be sent, and reports
 * whether a server began to answer it. Confined to one event loop.
 */
final class CrashGuard {
  private final EventLoopContext context;
  private final RoutedRequest request;
  private final RequestDecisionLog log;

  /** Computed when they are first needed, because of the digest. */
  private Optional<RequestTraits> traits = Optional.empty();

  private Optional<CrashSuspects.Block> block = Optional.empty();
  private boolean trial;
  private boolean begunReported;

  CrashGuard(EventLoopContext context, RoutedRequest request, RequestDecisionLog log) {
    this.context = context;
    this.request = request;
    this.log = log;
  }

  /** Returns the error to send if the request must not be sent to any server. */
  Optional<ErrorResponse> refusal() {
    CrashSuspects suspects = context.view().crashSuspects();
    if (trial || suspects.isEmpty()) {
      return Optional.empty();
    }
    long nowMs = DualTimestamp.monotonicNowMs();
    block = suspects.blockOf(traits(), nowMs);
    if (block.isEmpty()) {
      return Optional.empty();
    }
    Optional<String> triedTrait = suspects.tryStartTrial(traits(), nowMs);
    if (triedTrait.isPresent()) {
      startTrial(triedTrait.orElseThrow());
      return Optional.empty();
    }
    context.metrics().increment("blocked_requests");
    return block.map(
        found ->
            ErrorResponse.notRun(
                "crashes_servers",
                "Requests with the same prompt part or content ended their servers.",
                found.retryAfterMs()));
  }

  private void startTrial(String trait) {
    trial = true;
    block = Optional.empty();
    log.add("crash_trial", "trait=" + trait);
    context.reportTrialStarted(trait);
  }

  /** Returns further fields for the log line of a refusal; empty if the request is not blocked. */
  String logFields() {
    return block
        .map(found -> " trait=%s retry_after_ms=%d".formatted(found.trait(), found.retryAfterMs()))
        .orElse("");
  }

  /**
   * Checks whether a server crashed, after it was lost before it began to answer the request.
   *
   * @param load the server
   * @param cause why the response was lost
   * @param onChecked called once the result is known, or soon after if it is not
   */
  void onResponseLost(ServerLoad load, String cause, Runnable onChecked) {
    context.crashDetector().onResponseLost(traits(), load, cause, onChecked);
  }

  /**
   * Returns whether the request may be sent to another server.
   *
   * @param lostServer incarnation of the server that was lost while it ran the request
   */
  boolean mayResend(String lostServer) {
    CrashSuspects suspects = context.view().crashSuspects();
    return !trial && (suspects.isEmpty() || suspects.mayResend(traits(), lostServer));
  }

  /** Reports, once, that a server began to answer the request, if any trait is suspected. */
  void reportBegun() {
    if (!begunReported && !context.view().crashSuspects().isEmpty()) {
      begunReported = true;
      context.reportRequestCompleted(traits());
    }
  }

  private RequestTraits traits() {
    if (traits.isEmpty()) {
      traits = Optional.of(request.crashTraits());
    }
    return traits.orElseThrow();
  }
}
