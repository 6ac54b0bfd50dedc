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
 * One call on its way through backend servers, from the first choice to the end of the answer. All
 * of it happens on one event loop.
 */
final class CallExecution {
  private static final int INITIAL_BACKOFF_MS = 10;
  // A call that failed on this many backend servers is likely to fail on the next one too.
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
   * Prepares a call.
   *
   * @param loop state of the event loop that runs the call
   * @param call the call
   * @param output takes the answer
   * @param mayDispatch asked right before the first byte goes to a backend server
   */
  CallExecution(
      EventLoopState loop, BackendCall call, ResponseSink output, BooleanSupplier mayDispatch) {
    this.loopState = loop;
    this.call = call;
    this.sink = output;
    this.mayDispatch = mayDispatch;
  }

  void start() {
    loopState.shared().runningCalls().callStarted();
    loopState.retryBudget().recordRequest();
    scheduleDeadline();
    startAttempt();
  }

  /** Stops or goes on reading the answer, as the caller keeps up. */
  void setReadEnabled(boolean on) {
    readEnabled = on;
    connection.ifPresent(open -> open.setReadEnabled(on));
  }

  /** Gives the call up, since nobody waits for its answer any more. */
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
    EventLoop executor = loopState.eventLoop();
    long waitMs = call.deadlineMs().getAsLong() - loopState.context().clock().nowMs();
    executor.schedule(this::onDeadline, Math.max(0, waitMs), TimeUnit.MILLISECONDS);
  }

  private void onDeadline() {
    if (finished || responseStarted) {
      return;
    }
    releaseBackend().ifPresent(HttpConnection::abandon);
    fail(504, "deadline_exceeded", "The answer did not begin before the deadline.");
  }

  private void startAttempt() {
    if (finished) {
      return;
    }
    SuspicionLevel standing = loopState.router().suspicionLevel(call);
    if (standing == SuspicionLevel.BLOCKED) {
      failOrAbort(503, "crashes_backend", "The request has crashed two engines.");
    } else if (standing == SuspicionLevel.SUSPECT && !isolated) {
      requestIsolation();
    } else {
      connectToBackend();
    }
  }

  /** Waits for an engine on which a suspect harms no other request. */
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
          name -> loopState.context().crashListener().isolationEnded(call.fingerprint(), false));
    } else if (engine.isPresent()) {
      isolated = true;
      connectToBackend();
    } else {
      failOrAbort(503, "no_engine_alone", "No engine can run the request alone at the moment.");
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
    String text =
        triedBackends.isEmpty()
            ? "No backend server serves \"%s\".".formatted(call.target())
            : "No other backend server serves \"%s\".".formatted(call.target());
    failOrAbort(503, "no_backend", text);
  }

  private void connect(Backend chosen, Address target) {
    backend = Optional.of(chosen);
    loopState.shared().loads().callStarted(chosen.getName());
    // A reused connection may be closed at any time, which leaves the outcome of a call unknown.
    boolean mayReuse = call.routeRequest().idempotent();
    loopState.pool().acquire(target, mayReuse, opened -> onConnected(chosen, target, opened));
  }

  private void onConnected(Backend chosen, Address target, Result<HttpConnection> opened) {
    opened
        .failure()
        .ifPresent(
            failure -> {
              loopState.shared().loads().markFailed(chosen.getName());
              if (!finished) {
                releaseBackend();
                retryOrFail(failure);
              }
            });
    opened.value().ifPresent(open -> dispatch(target, open));
  }

  private void dispatch(Address target, HttpConnection open) {
    if (finished) {
      open.abandon();
      return;
    }
    Optional<ByteBuf> body = requestBody();
    if (body.isEmpty() || (!dispatched && !mayDispatch.getAsBoolean())) {
      open.abandon();
      releaseBackend();
      failOrAbort(
          409, "not_dispatched", "The call may not be handed to a backend server any more.");
      return;
    }
    dispatchedEarlier = dispatched;
    dispatched = true;
    connection = Optional.of(open);
    open.send(
        createRequest(target, body.get()),
        new ResponseListener(this::onPart, sink.flush(), this::onConnectionFailed));
    open.setReadEnabled(readEnabled);
  }

  private Optional<ByteBuf> requestBody() {
    return stream
        .flatMap(ResumableEventStream::sentEvents)
        .map(sent -> ResumeRequestBody.create(call.body(), sent))
        .orElseGet(() -> Optional.of(call.body()));
  }

  private DefaultFullHttpRequest createRequest(Address target, ByteBuf body) {
    // Shared by all attempts: Netty encodes them before the write returns.
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
      // The protocol of engines: the call had no effect.
      dispatched = dispatchedEarlier;
      releaseBackend().ifPresent(HttpConnection::abandon);
      retryOrFail(EntryFailure.notRun(503, "engine_unavailable", "The engine takes no request."));
      return;
    }
    responseStarted = true;
    if (EventStreamUtil.isTokenStream(call, head)) {
      // The length may change when another engine continues the stream.
      head.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
      stream = Optional.of(new ResumableEventStream());
    }
    if (call.isForEngine() && head.status().code() < 300) {
      reportUsage(EventStreamUtil.estimatePromptTokens(call.body()), 0);
    }
    sink.write().accept(head);
  }

  /** An engine that continues a stream must answer with one; its head is not passed on. */
  private void checkResumedResponse(HttpResponse head) {
    if (!EventStreamUtil.isTokenStream(call, head)) {
      releaseBackend().ifPresent(HttpConnection::abandon);
      retryOrFail(
          EntryFailure.outcomeUnknown(502, "resume_refused", "The engine refused to go on."));
    }
  }

  private void onStreamPart(ResumableEventStream events, HttpContent part) {
    boolean last = part instanceof LastHttpContent;
    ByteBuf passed = events.feed(part.content());
    if (events.hasGap()) {
      passed.release();
      releaseBackend().ifPresent(HttpConnection::abandon);
      abort();
      return;
    }
    if (last) {
      passed = Unpooled.wrappedBuffer(passed, events.remaining());
    }
    int tokens = events.tokenCount() - reportedTokens;
    if (tokens > 0) {
      reportedTokens += tokens;
      reportUsage(0, tokens);
    }
    if (passed.isReadable()) {
      sink.write().accept(new DefaultHttpContent(passed));
    } else {
      passed.release();
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

  /** The connection ended, or stayed silent, before the answer was whole. */
  private void onConnectionFailed(Failure failure) {
    if (finished) {
      return;
    }
    Optional<Backend> failed = backend;
    connection = Optional.empty();
    releaseBackend();
    isolated = false;
    failed.ifPresent(server -> loopState.shared().loads().markFailed(server.getName()));
    if (call.isForEngine() && failed.isPresent()) {
      loopState
          .context()
          .crashListener()
          .engineCrashed(
              failed.get().getName(),
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
    boolean safe = !dispatched || call.routeRequest().idempotent();
    if (safe && triedBackends.size() < MAX_ATTEMPTS && loopState.retryBudget().tryAcquire()) {
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
    // Not counted against the retry budget: a reclaimed failure domain ends many streams at once.
    stream.get().discardPartial();
    loopState.shared().metrics().countResume();
    startAttempt();
  }

  /** Waits longer after each attempt, at random, so that retries do not arrive together. */
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
    Optional<HttpConnection> left = connection;
    connection = Optional.empty();
    return left;
  }

  private void endIsolation(boolean toItsEnd) {
    if (isolated) {
      isolated = false;
      loopState.context().crashListener().isolationEnded(call.fingerprint(), toItsEnd);
    }
  }

  private void finish() {
    finished = true;
    endIsolation(false);
    stream.ifPresent(ResumableEventStream::discardPartial);
    loopState.shared().runningCalls().callEnded();
  }
}
