package io.samphiregauge.gateway.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.result.Failure;
import io.samphiregauge.gateway.GatewayView;
import io.samphiregauge.gateway.port.KvSource;
import io.samphiregauge.net.HttpConnection;
import io.samphiregauge.net.ResponseListener;
import java.util.Optional;

/**
 * Forwards one request to backend servers, with retries, and relays the response to the caller.
 * Confined to one event loop.
 *
 * <p>A request whose outcome is unknown is retried only if its route allows that; otherwise the
 * caller gets a status that leaves open whether the request has run.
 */
final class ProxyExchange {
  /** Minimum remaining time for an attempt; with less, no response in time is to be expected. */
  private static final long MIN_REMAINING_MS = 20;

  /** Time after the deadline in which a server's own timeout response can still arrive. */
  private static final long DEADLINE_GRACE_MS = 60;

  /** Minimum Retry-After for a request that has not run. */
  private static final long RETRY_MS = 250;

  /** Failed connects after which the request is refused; none of them has sent it. */
  private static final int MAX_CONNECT_FAILURES = 3;

  private final EventLoopContext context;
  private final ChannelHandlerContext caller;
  private final RoutedRequest request;
  private final CallerResponseWriter writer;
  private final RetainedKvCache kvCache;
  private final RequestDecisionLog log;
  private final CrashGuard crashGuard;
  private final AttemptRecorder recorder;
  private final StreamBinder streamBinder;
  private final RequestHold hold;
  private final AttemptPlanner planner;
  private final ReceivedResponses responses;
  private final AttemptConnector connector;
  private final QuotaSettlement quota;
  private Optional<ForwardAttempt> attempt = Optional.empty();
  private int sendCount;
  private int connectFailures;
  private boolean continued;
  private boolean outcomeUnknown;
  private boolean finished;

  ProxyExchange(
      EventLoopContext context,
      ChannelHandlerContext caller,
      RoutedRequest request,
      QuotaSettlement quota) {
    this.context = context;
    this.quota = quota;
    this.caller = caller;
    this.request = request;
    this.responses = new ReceivedResponses(context, caller.alloc());
    this.kvCache = new RetainedKvCache(context);
    this.connector = new AttemptConnector(context);
    this.log = new RequestDecisionLog(context, request);
    this.streamBinder = new StreamBinder(context, request, log);
    this.planner = new AttemptPlanner(context, request, kvCache, streamBinder.binding());
    this.crashGuard = new CrashGuard(context, request, log);
    this.recorder = new AttemptRecorder(context, request, log, crashGuard);
    this.hold =
        new RequestHold(context, request, log, streamBinder, this::tryNextServer, this::fail);
    this.writer = new CallerResponseWriter(caller, request.route().kind().isStream());
  }

  void start() {
    context.recordRequest(request.service());
    long waitMs = request.deadlineAtMs() - DualTimestamp.monotonicNowMs() + DEADLINE_GRACE_MS;
    context.schedule(Math.max(0, waitMs), this::onDeadline);
    hold.enter(planner.givesUpAtMs());
  }

  /** Pauses or resumes reading from the server, to match the speed of the caller. */
  void setReadEnabled(boolean enabled) {
    attempt.ifPresent(current -> current.setReadEnabled(enabled));
  }

  /** Abandons the request after the caller has closed its connection. */
  void cancel() {
    if (!finished) {
      log.add("caller_left", "");
      attempt.ifPresent(ForwardAttempt::abandon);
      finish();
    }
  }

  /** Ends the request because the process is about to exit. */
  void onShutdownEnd() {
    if (!finished) {
      fail(ErrorResponse.notRun("shutting_down", "This entry exits now.", RETRY_MS));
    }
  }

  private void tryNextServer() {
    if (finished || !hasTimeLeft()) {
      return;
    }
    GatewayView view = context.view();
    DualTimestamp now = DualTimestamp.now();
    if (crashGuard.refusal().map(this::refuse).isPresent()) {
      return;
    }
    if (request.team().isPresent() && !context.router().areKeysCurrent(view, now)) {
      fail(RequestRouter.staleConfigError());
      return;
    }
    planner.next(now.monotonicMs()).fold(this::connect, this::onNoServer);
  }

  private boolean onNoServer(Failure failure) {
    return hold.tryHold(failure, planner.givesUpAtMs()).map(this::refuse).orElse(true);
  }

  private boolean refuse(ErrorResponse error) {
    fail(error);
    return false;
  }

  private boolean connect(ForwardAttempt current) {
    attempt = Optional.of(current);
    context.serverNotices().onChosen(current.load());
    connector.connect(
        current,
        opened ->
            opened.fold(
                connection -> sendRequest(current, connection),
                failure -> onConnectFailure(current, failure)));
    return true;
  }

  private boolean sendRequest(ForwardAttempt current, HttpConnection connection) {
    // Each send passes here, so that whether it is still wanted is decided in one place.
    if (current.ended() || finished || !isAwaited() || !isAllowed(current)) {
      connection.release();
      return false;
    }
    current.onSent(connection);
    quota.onSent();
    if (!current.prefillOnly()) {
      sendCount++;
    }
    log.addForward(current, sendCount);
    connection.send(
        OutboundRequestFactory.create(
            request,
            current,
            writer.lastEventId().or(() -> request.meta().lastEventId()),
            request.deadlineAtMs() - DualTimestamp.monotonicNowMs(),
            context.dialect()),
        new ResponseListener(
            head -> ResponseMatcher.matches(request, current, head, context.dialect()),
            part -> onResponsePart(current, part),
            writer::flush,
            failure -> onResponseLost(current, failure)));
    return true;
  }

  /** Returns whether the caller still waits and has time left; otherwise ends the request. */
  private boolean isAwaited() {
    if (!writer.isCallerConnected()) {
      cancel();
      return false;
    }
    return hasTimeLeft();
  }

  private boolean hasTimeLeft() {
    boolean enough = request.deadlineAtMs() - DualTimestamp.monotonicNowMs() >= MIN_REMAINING_MS;
    if (!enough) {
      fail(ErrorResponse.timedOut("No time is left to send the request."));
    }
    return enough;
  }

  /** Returns whether what became known while the connection was opened allows the send. */
  private boolean isAllowed(ForwardAttempt current) {
    if (!context.serverNotices().isClosed(current.load().server())) {
      return crashGuard.refusal().map(this::refuse).isEmpty();
    }
    current.end();
    if (continued) {
      failAsLost();
    } else {
      tryNextServer();
    }
    return false;
  }

  private boolean onConnectFailure(ForwardAttempt current, Failure failure) {
    if (current.ended() || finished) {
      return false;
    }
    current.end();
    current.load().recordConnectFailure(DualTimestamp.monotonicNowMs());
    planner.exclude(current.incarnation());
    connectFailures++;
    log.add(
        "not_connected", "backend=%s cause=%s".formatted(current.incarnation(), failure.type()));
    if (continued) {
      failAsLost();
    } else if (connectFailures < MAX_CONNECT_FAILURES) {
      tryNextServer();
    } else {
      fail(ErrorResponse.notRun("not_connected", "No server could be reached.", RETRY_MS));
    }
    return false;
  }

  private void onResponsePart(ForwardAttempt current, HttpObject part) {
    try {
      if (finished || current.ended()) {
        return;
      }
      if (part instanceof HttpResponse head) {
        responses.begin(head);
        context.serverNotices().onResponseHead(current, responses.current(), request.attemptId());
      }
      if (part instanceof HttpContent content) {
        onContent(current, responses.current(), content.content());
      }
      if (part instanceof LastHttpContent && !finished && !current.ended()) {
        onResponseComplete(current, responses.current());
      }
    } finally {
      ReferenceCountUtil.release(part);
    }
  }

  private void onContent(ForwardAttempt current, ServerResponse response, ByteBuf bytes) {
    if (!response.isRelayedAsStream(request, current)) {
      if (!response.append(bytes)) {
        onResponseLost(current, new InvalidServerResponse("the body exceeds the buffer limits"));
      }
      return;
    }
    if (writer.writeEvents(response.head(), bytes)) {
      recorder.recordExecutionStarted(current);
      streamBinder.onEvent(current.load().server());
    }
    if (writer.isOutOfSequence()) {
      onResponseLost(current, new InvalidServerResponse("the stream was not continued"));
    } else if (writer.hasOversizedEvent()) {
      onResponseLost(current, new InvalidServerResponse("an event exceeds the size limit"));
    }
  }

  private void onResponseComplete(ForwardAttempt current, ServerResponse response) {
    if (response.isRejection()) {
      onRejected(current, response);
    } else if (response.isUnsealedSuccess() && !current.prefillOnly()) {
      onResponseLost(current, new InvalidServerResponse("the success is not sealed"));
    } else if (current.prefillOnly()) {
      onPrefilled(current, response);
    } else if (response.isRelayedAsStream(request, current)) {
      onStreamEnd(current, response);
    } else {
      onFullResponse(current, response);
    }
  }

  private void onPrefilled(ForwardAttempt current, ServerResponse response) {
    current.end();
    Optional<String> handle = response.readKvHandle(context.dialect());
    if (handle.isEmpty()) {
      onPrefillFailed(current, "status " + response.status());
      return;
    }
    recorder.recordPrefilled(current);
    kvCache.retain(new KvSource(current.load().server(), handle.orElseThrow()));
    tryNextServer();
  }

  /** Handles a failed prefill: the request has not run, and a decoding engine can prefill too. */
  private void onPrefillFailed(ForwardAttempt current, String cause) {
    planner.excludePrefillEngines();
    log.add("prefill_failed", "backend=%s cause=\"%s\"".formatted(current.incarnation(), cause));
    sendCount++;
    if (tryAcquireRetry()) {
      tryNextServer();
    } else {
      fail(ErrorResponse.notRun("prefill_failed", "The prompt was not prefilled.", RETRY_MS));
    }
  }

  private void onStreamEnd(ForwardAttempt current, ServerResponse response) {
    if (writer.hasPartialEvent()) {
      onResponseLost(current, new InvalidServerResponse("the stream ended within an event"));
      return;
    }
    if (writer.awaitsContinuation()) {
      onResponseLost(current, new InvalidServerResponse("the stream was continued without events"));
      return;
    }
    current.end();
    current.load().recordResponse(current.elapsedMs());
    recorder.recordExecutionStarted(current);
    current.recordRun(context.engineRates(request.service()));
    writer.endStream(response.head());
    finishWithResponse(response);
  }

  private void onFullResponse(ForwardAttempt current, ServerResponse response) {
    current.end();
    if (response.isSuccess()) {
      crashGuard.reportBegun();
    }
    if (response.isServerError()) {
      current.load().recordFailure(DualTimestamp.monotonicNowMs());
    } else {
      recorder.recordResponse(current);
    }
    recorder.recordCounted(current);
    if (writer.started()) {
      abortResponse("a server answered with status " + response.status() + " instead of going on");
      return;
    }
    if (response.isServerError() && request.route().kind().isRetryable() && tryAcquireRetry()) {
      planner.exclude(current.incarnation());
      log.addRepeat(current, response.status());
      // The request has run, so later errors must not deny it.
      outcomeUnknown = true;
      responses.saveFailure();
      tryNextServer();
      return;
    }
    if (response.isUnconfirmedRejection()) {
      outcomeUnknown = true;
      fail(ErrorResponse.outcomeUnknown("server_failed", "The server failed the request."));
      return;
    }
    relayFullResponse(response);
  }

  private void relayFullResponse(ServerResponse response) {
    writer.writeFull(response.head(), response.body().retain(), request.httpRequest().method());
    finishWithResponse(response);
  }

  private void finishWithResponse(ServerResponse response) {
    log.add("answered", "status=%d took_ms=%d".formatted(response.status(), log.sinceArrivalMs()));
    finish();
  }

  private void onRejected(ForwardAttempt current, ServerResponse response) {
    current.end();
    quota.onRejected();
    if (response.isMisdirected()) {
      current.load().recordConnectFailure(DualTimestamp.monotonicNowMs());
    }
    log.add("rejected", "backend=%s status=%d".formatted(current.incarnation(), response.status()));
    if (current.prefillOnly()) {
      onPrefillFailed(current, "rejected with status " + response.status());
      return;
    }
    if (kvCache.source().isPresent()) {
      // The retained KV cache may be missing; the engine can still serve the request without it.
      kvCache.free();
    } else {
      planner.exclude(current.incarnation());
    }
    if (!continued && tryAcquireRetry()) {
      tryNextServer();
    } else {
      fail(ErrorResponse.serverFull(RETRY_MS));
    }
  }

  private void onResponseLost(ForwardAttempt current, Failure failure) {
    if (finished || current.ended()) {
      return;
    }
    current.abandon();
    current.load().recordFailure(DualTimestamp.monotonicNowMs());
    planner.exclude(current.incarnation());
    log.addLost(current, failure, writer.started());
    if (current.prefillOnly()) {
      onPrefillFailed(current, failure.type());
      return;
    }
    outcomeUnknown = true;
    // In most cases of a lost response the server has run the request, so it is counted.
    recorder.recordCounted(current);
    kvCache.clear();
    writer.discardPartialEvent();
    if (writer.started()) {
      continueAfterLoss(current);
      return;
    }
    // A retry waits for the check, since the request itself may have crashed the server.
    boolean retryable = request.route().kind().isRetryable();
    Runnable onChecked = retryable ? () -> continueAfterLoss(current) : () -> {};
    crashGuard.onResponseLost(current.load(), failure.message(), onChecked);
    if (!retryable) {
      continueAfterLoss(current);
    }
  }

  private void continueAfterLoss(ForwardAttempt lost) {
    if (finished) {
      return;
    }
    // A request that a server began to answer has not crashed it.
    boolean mayResend = writer.started() || crashGuard.mayResend(lost.incarnation());
    if (request.route().kind().isRetryable() && mayResend && tryAcquireRetry()) {
      tryNextServer();
    } else if (!continueFromBackup(lost)) {
      failAsLost();
    }
  }

  /**
   * Continues a broken stream from the copy of its KV cache. Before the first event, the request
   * itself may have crashed the server, and would crash the next one.
   *
   * @return whether another engine was asked to continue
   */
  private boolean continueFromBackup(ForwardAttempt lost) {
    boolean mayContinue = !continued && writer.started() && lost.backup().isPresent();
    if (!mayContinue || !context.tryAcquireRetry(request.service())) {
      return false;
    }
    Optional<ForwardAttempt> continuation = planner.continueFromBackup(lost);
    continued = continuation.isPresent();
    continuation.ifPresent(this::connect);
    return continued;
  }

  private boolean tryAcquireRetry() {
    return sendCount < request.route().maxAttempts() && context.tryAcquireRetry(request.service());
  }

  private void onDeadline() {
    if (!finished) {
      fail(ErrorResponse.timedOut("The request was not answered in time."));
    }
  }

  /** Ends the request, which may have run, because the response of its server was lost. */
  private void failAsLost() {
    fail(ErrorResponse.outcomeUnknown("answer_lost", "The server's answer was lost."));
  }

  /** Ends the request with an error, or with the failure response of an earlier attempt. */
  private void fail(ErrorResponse error) {
    boolean mayHaveRun =
        outcomeUnknown
            || attempt.filter(a -> a.isSent() && !a.ended() && !a.prefillOnly()).isPresent();
    attempt.ifPresent(ForwardAttempt::abandon);
    if (writer.started()) {
      abortResponse(error.message());
      return;
    }
    if (responses.failure().isPresent()) {
      relayFullResponse(responses.failure().orElseThrow());
      return;
    }
    ErrorResponse finalError =
        mayHaveRun ? error.asOutcomeUnknown() : hold.withReturnTime(error.asNotRun(RETRY_MS));
    log.addRefused(finalError, crashGuard.logFields());
    context.metrics().increment("refused." + finalError.type());
    GatewayResponses.sendError(caller, finalError);
    finish();
  }

  private void abortResponse(String reason) {
    log.addStreamBroken(reason, crashGuard.logFields());
    context.metrics().increment("stream_broken");
    // Events that are complete are delivered before the connection is closed.
    caller.flush();
    finish();
    caller.close();
  }

  private void finish() {
    finished = true;
    quota.onEnd();
    hold.end();
    if (attempt.filter(sent -> sent.isSent() && !sent.prefillOnly()).isEmpty()) {
      kvCache.free();
    }
    responses.release();
    writer.release();
    request.httpRequest().release();
  }
}
