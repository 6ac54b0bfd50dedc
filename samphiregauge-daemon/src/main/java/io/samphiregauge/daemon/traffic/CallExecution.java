package io.samphiregauge.daemon.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.samphiregauge.core.result.Failure;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.core.route.Route;
import io.samphiregauge.core.suspect.SuspicionLevel;
import io.samphiregauge.net.Address;
import io.samphiregauge.net.HttpConnection;
import io.samphiregauge.net.ResponseListener;
import io.samphiregauge.schema.config.Backend;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Executes one call: selects a backend server, forwards the request and its response, and retries
 * or resumes on another backend server after a failure. Confined to one event loop.
 */
final class CallExecution {
  private static final int INITIAL_BACKOFF_MS = 10;
  // After this many failures, the call is likely to fail on the next backend server too.
  private static final int MAX_ATTEMPTS = 4;

  private final EventLoopState loopState;
  private final BackendCall call;
  private final ResponseSink sink;
  private final BooleanSupplier mayDispatch;
  private final Set<String> triedBackends = new HashSet<>();
  private Optional<HttpConnection> connection = Optional.empty();
  private Optional<Backend> backend = Optional.empty();
  private Optional<ResumableEventStream> stream = Optional.empty();
  private boolean readEnabled = true;
  private boolean dispatched;
  private boolean dispatchedEarlier;
  private boolean responseStarted;
  private boolean finished;
  private boolean isolated;
  private int reportedTokens;

  /**
   * Creates the execution of a call; {@link #start} begins it.
   *
   * @param loopState state of the event loop that runs the call
   * @param call call to execute
   * @param sink receives the response
   * @param mayDispatch checked immediately before the call is first sent to a backend server
   */
  CallExecution(
      EventLoopState loopState, BackendCall call, ResponseSink sink, BooleanSupplier mayDispatch) {
    this.loopState = loopState;
    this.call = call;
    this.sink = sink;
    this.mayDispatch = mayDispatch;
  }

  void start() {
    loopState.shared().runningCalls().callStarted();
    loopState.retryBudget().recordRequest();
    scheduleDeadline();
    startAttempt();
  }

  /** Pauses or resumes reading the response, to apply backpressure from a slow caller. */
  void setReadEnabled(boolean enabled) {
    readEnabled = enabled;
    connection.ifPresent(current -> current.setReadEnabled(enabled));
  }

  /** Cancels the call after its caller has disconnected. */
  void cancel() {
    if (!finished) {
      releaseBackend().ifPresent(HttpConnection::abandon);
      finish();
    }
  }

  private void scheduleDeadline() {
    if (call.deadlineMs().isEmpty()) {
      return;
    }
    EventLoop eventLoop = loopState.eventLoop();
    long waitMs = call.deadlineMs().getAsLong() - loopState.context().clock().nowMs();
    eventLoop.schedule(this::onDeadline, Math.max(0, waitMs), TimeUnit.MILLISECONDS);
  }

  private void onDeadline() {
    if (finished || responseStarted) {
      return;
    }
    releaseBackend().ifPresent(HttpConnection::abandon);
    fail(504, "deadline_exceeded", "The response did not begin before the deadline.");
  }

  private void startAttempt() {
    if (finished) {
      return;
    }
    SuspicionLevel suspicion = loopState.router().suspicionLevel(call);
    if (suspicion == SuspicionLevel.BLOCKED) {
      failOrAbort(
          503, "crashes_backend", "The request is blocked because it has crashed two engines.");
    } else if (suspicion == SuspicionLevel.SUSPECT && !isolated) {
      requestIsolation();
    } else {
      connectToBackend();
    }
  }

  /** Requests an engine on which a suspect call can run without endangering other calls. */
  private void requestIsolation() {
    loopState
        .context()
        .crashListener()
        .requestIsolation(
            call.fingerprint(),
            loopState.router().usableEngines(call, triedBackends),
            engine -> loopState.eventLoop().execute(() -> onIsolationGranted(engine)));
  }

  private void onIsolationGranted(Optional<String> engine) {
    if (finished) {
      engine.ifPresent(
          granted -> loopState.context().crashListener().isolationEnded(call.fingerprint(), false));
    } else if (engine.isPresent()) {
      isolated = true;
      connectToBackend();
    } else {
      failOrAbort(
          503,
          "no_engine_alone",
          "No engine is currently available to run the suspect request in isolation.");
    }
  }

  private void failOrAbort(int status, String type, String message) {
    if (responseStarted) {
      abort();
    } else {
      fail(status, type, message);
    }
  }

  private void connectToBackend() {
    Optional<Route> route = loopState.router().route(call, triedBackends);
    if (route.isEmpty()) {
      failNoBackend();
      return;
    }
    Backend chosen = route.get().candidate().backend();
    triedBackends.add(chosen.getName());
    Result<Address> address = loopState.router().address(chosen);
    address.failure().ifPresent(failure -> retryOrFail(failure));
    address.value().ifPresent(target -> connect(chosen, target));
  }

  private void failNoBackend() {
    String message =
        triedBackends.isEmpty()
            ? "No backend server serves \"%s\".".formatted(call.target())
            : "No other backend server serves \"%s\".".formatted(call.target());
    failOrAbort(503, "no_backend", message);
  }

  private void connect(Backend chosen, Address target) {
    backend = Optional.of(chosen);
    loopState.shared().loads().callStarted(chosen.getName());
    // The server may close a reused connection at any time, which leaves the outcome unknown.
    boolean mayReuse = call.routeRequest().idempotent();
    loopState.pool().acquire(target, mayReuse, result -> onConnected(chosen, target, result));
  }

  private void onConnected(Backend chosen, Address target, Result<HttpConnection> result) {
    result
        .failure()
        .ifPresent(
            failure -> {
              loopState.shared().loads().markFailed(chosen.getName());
              if (!finished) {
                releaseBackend();
                retryOrFail(failure);
              }
            });
    result.value().ifPresent(newConnection -> dispatch(target, newConnection));
  }

  private void dispatch(Address target, HttpConnection newConnection) {
    if (finished) {
      newConnection.abandon();
      return;
    }
    Optional<ByteBuf> body = requestBody();
    if (body.isEmpty() || (!dispatched && !mayDispatch.getAsBoolean())) {
      newConnection.abandon();
      releaseBackend();
      failOrAbort(
          409, "not_dispatched", "The call can no longer be dispatched to a backend server.");
      return;
    }
    dispatchedEarlier = dispatched;
    dispatched = true;
    connection = Optional.of(newConnection);
    newConnection.send(
        createRequest(target, body.get()),
        new ResponseListener(this::onPart, sink.flush(), this::onConnectionFailed));
    newConnection.setReadEnabled(readEnabled);
  }

  private Optional<ByteBuf> requestBody() {
    return stream
        .flatMap(ResumableEventStream::sentEvents)
        .map(sent -> ResumeRequestBody.create(call.body(), sent))
        .orElseGet(() -> Optional.of(call.body()));
  }

  private DefaultFullHttpRequest createRequest(Address target, ByteBuf body) {
    // All attempts share the headers, which is safe as Netty encodes them before the write returns.
    HttpHeaders headers = call.headers();
    headers.set(HttpHeaderNames.HOST, target.toString());
    headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
    return new DefaultFullHttpRequest(
        HttpVersion.HTTP_1_1,
        call.method(),
        call.uri(),
        body.retainedDuplicate(),
        headers,
        EmptyHttpHeaders.INSTANCE);
  }

  private void onPart(HttpObject part) {
    if (finished) {
      ReferenceCountUtil.release(part);
      return;
    }
    if (part instanceof HttpResponse head) {
      onHead(head);
      return;
    }
    if (stream.isPresent()) {
      onStreamPart(stream.get(), (HttpContent) part);
    } else {
      sink.write().accept(part);
    }
    if (part instanceof LastHttpContent) {
      endIsolation(true);
      connection = Optional.empty();
      releaseBackend();
      finish();
    }
  }

  private void onHead(HttpResponse head) {
    if (responseStarted) {
      checkResumedResponse(head);
      return;
    }
    if (call.isForEngine() && head.status().equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
      // By the engine protocol, a 503 response means that the call had no effect.
      dispatched = dispatchedEarlier;
      releaseBackend().ifPresent(HttpConnection::abandon);
      retryOrFail(
          EntryFailure.notRun(503, "engine_unavailable", "The engine does not accept requests."));
      return;
    }
    responseStarted = true;
    if (EventStreamUtil.isTokenStream(call, head)) {
      // The length may change if another engine resumes the stream.
      head.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
      stream = Optional.of(new ResumableEventStream());
    }
    if (call.isForEngine() && head.status().code() < 300) {
      reportUsage(EventStreamUtil.estimatePromptTokens(call.body()), 0);
    }
    sink.write().accept(head);
  }

  /**
   * Requires a token stream from an engine that resumes one; its response head is not forwarded.
   */
  private void checkResumedResponse(HttpResponse head) {
    if (!EventStreamUtil.isTokenStream(call, head)) {
      releaseBackend().ifPresent(HttpConnection::abandon);
      retryOrFail(
          EntryFailure.outcomeUnknown(
              502, "resume_refused", "The engine did not resume the stream."));
    }
  }

  private void onStreamPart(ResumableEventStream events, HttpContent part) {
    boolean last = part instanceof LastHttpContent;
    ByteBuf forwarded = events.feed(part.content());
    if (events.hasGap()) {
      forwarded.release();
      releaseBackend().ifPresent(HttpConnection::abandon);
      abort();
      return;
    }
    if (last) {
      forwarded = Unpooled.wrappedBuffer(forwarded, events.remaining());
    }
    int tokens = events.tokenCount() - reportedTokens;
    if (tokens > 0) {
      reportedTokens += tokens;
      reportUsage(0, tokens);
    }
    if (forwarded.isReadable()) {
      sink.write().accept(new DefaultHttpContent(forwarded));
    } else {
      forwarded.release();
    }
    if (last) {
      sink.write().accept(LastHttpContent.EMPTY_LAST_CONTENT);
    }
  }

  private void reportUsage(int promptTokens, int outputTokens) {
    call.routeRequest()
        .team()
        .ifPresent(
            team ->
                loopState
                    .context()
                    .usageListener()
                    .add(team, call.target(), promptTokens, outputTokens));
  }

  /** Handles a connection that closed or timed out before the response was complete. */
  private void onConnectionFailed(Failure failure) {
    if (finished) {
      return;
    }
    Optional<Backend> failedBackend = backend;
    connection = Optional.empty();
    releaseBackend();
    isolated = false;
    failedBackend.ifPresent(server -> loopState.shared().loads().markFailed(server.getName()));
    if (call.isForEngine() && failedBackend.isPresent()) {
      loopState
          .context()
          .crashListener()
          .engineCrashed(
              failedBackend.get().getName(),
              call::fingerprint,
              () -> loopState.eventLoop().execute(() -> retryOrFail(failure)));
    } else {
      retryOrFail(failure);
    }
  }

  private void retryOrFail(Failure failure) {
    if (finished) {
      return;
    }
    if (responseStarted) {
      resumeOrAbort();
      return;
    }
    boolean mayRetry = !dispatched || call.routeRequest().idempotent();
    if (mayRetry && triedBackends.size() < MAX_ATTEMPTS && loopState.retryBudget().tryAcquire()) {
      loopState.shared().metrics().countRetry();
      scheduleRetry();
      return;
    }
    fail(502, failure.type(), failure.message());
  }

  private void resumeOrAbort() {
    if (stream.filter(ResumableEventStream::isDone).isPresent()) {
      finish();
      sink.write().accept(LastHttpContent.EMPTY_LAST_CONTENT);
      sink.flush().run();
      return;
    }
    boolean resumable = stream.filter(events -> events.sentEvents().isPresent()).isPresent();
    if (!resumable || triedBackends.size() >= MAX_ATTEMPTS) {
      abort();
      return;
    }
    // Not counted against the retry budget, as reclaiming a failure domain ends many streams at
    // once.
    stream.get().discardPartial();
    loopState.shared().metrics().countResume();
    startAttempt();
  }

  /** Schedules a retry with exponential backoff and full jitter, so that retries are spread out. */
  private void scheduleRetry() {
    int maxMs = INITIAL_BACKOFF_MS << triedBackends.size();
    int waitMs = loopState.random().nextIndex(maxMs);
    loopState.eventLoop().schedule(this::startAttempt, waitMs, TimeUnit.MILLISECONDS);
  }

  private void fail(int status, String type, String message) {
    EntryFailure failure =
        dispatched
            ? EntryFailure.outcomeUnknown(status, type, message)
            : EntryFailure.notRun(status, type, message);
    finish();
    sink.fail().accept(failure);
  }

  private void abort() {
    finish();
    stream.ifPresent(events -> sink.write().accept(EventStreamUtil.truncationEvent()));
    sink.abort().run();
  }

  private Optional<HttpConnection> releaseBackend() {
    backend.ifPresent(server -> loopState.shared().loads().callEnded(server.getName()));
    backend = Optional.empty();
    Optional<HttpConnection> released = connection;
    connection = Optional.empty();
    return released;
  }

  private void endIsolation(boolean completed) {
    if (isolated) {
      isolated = false;
      loopState.context().crashListener().isolationEnded(call.fingerprint(), completed);
    }
  }

  private void finish() {
    finished = true;
    endIsolation(false);
    stream.ifPresent(ResumableEventStream::discardPartial);
    loopState.shared().runningCalls().callEnded();
  }
}
