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
final class Exchange {
  private static final int FIRST_BACKOFF_MS = 10;
  // A call that failed on this many backend servers is likely to fail on the next one too.
  private static final int MAX_ATTEMPTS = 4;

  private final TrafficLoop loop;
  private final Call call;
  private final Output output;
  private final BooleanSupplier mayDispatch;
  private final Set<String> tried = new HashSet<>();
  private Optional<HttpConnection> connection = Optional.empty();
  private Optional<Backend> backend = Optional.empty();
  private Optional<EventStream> stream = Optional.empty();
  private boolean reading = true;
  private boolean dispatched;
  private boolean dispatchedBefore;
  private boolean answering;
  private boolean over;
  private boolean isolated;
  private int countedTokens;

  /**
   * Prepares a call.
   *
   * @param loop state of the event loop that runs the call
   * @param call the call
   * @param output takes the answer
   * @param mayDispatch asked right before the first byte goes to a backend server
   */
  Exchange(TrafficLoop loop, Call call, Output output, BooleanSupplier mayDispatch) {
    this.loop = loop;
    this.call = call;
    this.output = output;
    this.mayDispatch = mayDispatch;
  }

  void start() {
    loop.shared().running().begin();
    loop.retries().countRequest();
    limitTime();
    attempt();
  }

  /** Stops or goes on reading the answer, as the caller keeps up. */
  void setReading(boolean on) {
    reading = on;
    connection.ifPresent(open -> open.setReadEnabled(on));
  }

  /** Gives the call up, since nobody waits for its answer any more. */
  void cancel() {
    if (!over) {
      leaveBackend().ifPresent(HttpConnection::abandon);
      finish();
    }
  }

  private void limitTime() {
    if (call.deadlineMs().isEmpty()) {
      return;
    }
    EventLoop executor = loop.eventLoop();
    long waitMs = call.deadlineMs().getAsLong() - loop.parts().clock().nowMs();
    executor.schedule(this::passDeadline, Math.max(0, waitMs), TimeUnit.MILLISECONDS);
  }

  private void passDeadline() {
    if (over || answering) {
      return;
    }
    leaveBackend().ifPresent(HttpConnection::abandon);
    refuse(504, "deadline_exceeded", "The answer did not begin before the deadline.");
  }

  private void attempt() {
    if (over) {
      return;
    }
    SuspicionLevel standing = loop.router().standing(call);
    if (standing == SuspicionLevel.BLOCKED) {
      refuseOrCut(503, "crashes_backend", "The request has crashed two engines.");
    } else if (standing == SuspicionLevel.SUSPECT && !isolated) {
      isolate();
    } else {
      run();
    }
  }

  /** Waits for an engine on which a suspect harms no other request. */
  private void isolate() {
    loop.parts()
        .crashes()
        .isolate(
            call.fingerprint(),
            loop.router().engines(call, tried),
            engine -> loop.eventLoop().execute(() -> granted(engine)));
  }

  private void granted(Optional<String> engine) {
    if (over) {
      engine.ifPresent(name -> loop.parts().crashes().finished(call.fingerprint(), false));
    } else if (engine.isPresent()) {
      isolated = true;
      run();
    } else {
      refuseOrCut(503, "no_engine_alone", "No engine can run the request alone at the moment.");
    }
  }

  private void refuseOrCut(int status, String type, String message) {
    if (answering) {
      cutOff();
    } else {
      refuse(status, type, message);
    }
  }

  private void run() {
    Optional<Route> route = loop.router().route(call, tried);
    if (route.isEmpty()) {
      noBackend();
      return;
    }
    Backend chosen = route.get().candidate().backend();
    tried.add(chosen.getName());
    Result<Address> address = loop.router().address(chosen);
    address.failure().ifPresent(failure -> retryOrFail(failure));
    address.value().ifPresent(target -> connect(chosen, target));
  }

  private void noBackend() {
    String text =
        tried.isEmpty()
            ? "No backend server serves \"%s\".".formatted(call.target())
            : "No other backend server serves \"%s\".".formatted(call.target());
    refuseOrCut(503, "no_backend", text);
  }

  private void connect(Backend chosen, Address target) {
    backend = Optional.of(chosen);
    loop.shared().loads().begin(chosen.getName());
    // A reused connection may be closed at any time, which leaves the outcome of a call unknown.
    boolean mayReuse = call.route().idempotent();
    loop.pool().acquire(target, mayReuse, opened -> connected(chosen, target, opened));
  }

  private void connected(Backend chosen, Address target, Result<HttpConnection> opened) {
    opened
        .failure()
        .ifPresent(
            failure -> {
              loop.shared().loads().failed(chosen.getName());
              if (!over) {
                leaveBackend();
                retryOrFail(failure);
              }
            });
    opened.value().ifPresent(open -> dispatch(target, open));
  }

  private void dispatch(Address target, HttpConnection open) {
    if (over) {
      open.abandon();
      return;
    }
    Optional<ByteBuf> body = bodyToSend();
    if (body.isEmpty() || (!dispatched && !mayDispatch.getAsBoolean())) {
      open.abandon();
      leaveBackend();
      refuseOrCut(
          409, "not_dispatched", "The call may not be handed to a backend server any more.");
      return;
    }
    dispatchedBefore = dispatched;
    dispatched = true;
    connection = Optional.of(open);
    open.send(
        request(target, body.get()),
        new ResponseListener(this::take, output.batchEnd(), this::lost));
    open.setReadEnabled(reading);
  }

  private Optional<ByteBuf> bodyToSend() {
    return stream
        .flatMap(EventStream::sent)
        .map(sent -> ResumeBody.of(call.body(), sent))
        .orElseGet(() -> Optional.of(call.body()));
  }

  private DefaultFullHttpRequest request(Address target, ByteBuf body) {
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

  private void take(HttpObject part) {
    if (over) {
      ReferenceCountUtil.release(part);
      return;
    }
    if (part instanceof HttpResponse head) {
      takeHead(head);
      return;
    }
    if (stream.isPresent()) {
      takeEvents(stream.get(), (HttpContent) part);
    } else {
      output.part().accept(part);
    }
    if (part instanceof LastHttpContent) {
      leaveIsolation(true);
      connection = Optional.empty();
      leaveBackend();
      finish();
    }
  }

  private void takeHead(HttpResponse head) {
    if (answering) {
      checkResumed(head);
      return;
    }
    if (call.isForEngine() && head.status().equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
      // The protocol of engines: the call had no effect.
      dispatched = dispatchedBefore;
      leaveBackend().ifPresent(HttpConnection::abandon);
      retryOrFail(EntryFailure.notRun(503, "engine_unavailable", "The engine takes no request."));
      return;
    }
    answering = true;
    if (EventStreams.isFollowed(call, head)) {
      // The length may change when another engine continues the stream.
      head.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
      stream = Optional.of(new EventStream());
    }
    if (call.isForEngine() && head.status().code() < 300) {
      countUsage(EventStreams.promptTokens(call.body()), 0);
    }
    output.part().accept(head);
  }

  /** An engine that continues a stream must answer with one; its head is not passed on. */
  private void checkResumed(HttpResponse head) {
    if (!EventStreams.isFollowed(call, head)) {
      leaveBackend().ifPresent(HttpConnection::abandon);
      retryOrFail(EntryFailure.unknown(502, "resume_refused", "The engine refused to go on."));
    }
  }

  private void takeEvents(EventStream events, HttpContent part) {
    boolean last = part instanceof LastHttpContent;
    ByteBuf passed = events.take(part.content());
    if (events.hasGap()) {
      passed.release();
      leaveBackend().ifPresent(HttpConnection::abandon);
      cutOff();
      return;
    }
    if (last) {
      passed = Unpooled.wrappedBuffer(passed, events.rest());
    }
    int tokens = events.tokens() - countedTokens;
    if (tokens > 0) {
      countedTokens += tokens;
      countUsage(0, tokens);
    }
    if (passed.isReadable()) {
      output.part().accept(new DefaultHttpContent(passed));
    } else {
      passed.release();
    }
    if (last) {
      output.part().accept(LastHttpContent.EMPTY_LAST_CONTENT);
    }
  }

  private void countUsage(int promptTokens, int outputTokens) {
    call.route()
        .team()
        .ifPresent(
            team -> loop.parts().usage().add(team, call.target(), promptTokens, outputTokens));
  }

  /** The connection ended, or stayed silent, before the answer was whole. */
  private void lost(Failure failure) {
    if (over) {
      return;
    }
    Optional<Backend> failed = backend;
    connection = Optional.empty();
    leaveBackend();
    isolated = false;
    failed.ifPresent(server -> loop.shared().loads().failed(server.getName()));
    if (call.isForEngine() && failed.isPresent()) {
      loop.parts()
          .crashes()
          .crashed(
              failed.get().getName(),
              call::fingerprint,
              () -> loop.eventLoop().execute(() -> retryOrFail(failure)));
    } else {
      retryOrFail(failure);
    }
  }

  private void retryOrFail(Failure failure) {
    if (over) {
      return;
    }
    if (answering) {
      resumeOrCut();
      return;
    }
    boolean safe = !dispatched || call.route().idempotent();
    if (safe && tried.size() < MAX_ATTEMPTS && loop.retries().take()) {
      loop.shared().metrics().countRetry();
      attemptLater();
      return;
    }
    refuse(502, failure.type(), failure.message());
  }

  private void resumeOrCut() {
    if (stream.filter(EventStream::isDone).isPresent()) {
      finish();
      output.part().accept(LastHttpContent.EMPTY_LAST_CONTENT);
      output.batchEnd().run();
      return;
    }
    boolean resumable = stream.filter(events -> events.sent().isPresent()).isPresent();
    if (!resumable || tried.size() >= MAX_ATTEMPTS) {
      cutOff();
      return;
    }
    // Not counted against the retry budget: a reclaimed failure domain ends many streams at once.
    stream.get().dropPartial();
    loop.shared().metrics().countResume();
    attempt();
  }

  /** Waits longer after each attempt, at random, so that retries do not arrive together. */
  private void attemptLater() {
    int maxMs = FIRST_BACKOFF_MS << tried.size();
    int waitMs = loop.random().nextIndex(maxMs);
    loop.eventLoop().schedule(this::attempt, waitMs, TimeUnit.MILLISECONDS);
  }

  private void refuse(int status, String type, String message) {
    EntryFailure failure =
        dispatched
            ? EntryFailure.unknown(status, type, message)
            : EntryFailure.notRun(status, type, message);
    finish();
    output.refuse().accept(failure);
  }

  private void cutOff() {
    finish();
    stream.ifPresent(events -> output.part().accept(EventStreams.endedEarly()));
    output.cut().run();
  }

  private Optional<HttpConnection> leaveBackend() {
    backend.ifPresent(server -> loop.shared().loads().end(server.getName()));
    backend = Optional.empty();
    Optional<HttpConnection> left = connection;
    connection = Optional.empty();
    return left;
  }

  private void leaveIsolation(boolean toItsEnd) {
    if (isolated) {
      isolated = false;
      loop.parts().crashes().finished(call.fingerprint(), toItsEnd);
    }
  }

  private void finish() {
    over = true;
    leaveIsolation(false);
    stream.ifPresent(EventStream::dropPartial);
    loop.shared().running().end();
  }
}
