package io.samphiregauge.gateway.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.samphiregauge.core.dispatch.Prompt;
import io.samphiregauge.core.dispatch.ServerChooser;
import io.samphiregauge.core.dispatch.ServerLoad;
import io.samphiregauge.core.result.Failure;
import io.samphiregauge.gateway.DualTimestamp;
import io.samphiregauge.gateway.GatewayView;
import io.samphiregauge.gateway.port.KvSource;
import io.samphiregauge.net.HttpConnection;
import io.samphiregauge.net.ResponseListener;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * One request on its way through backend servers, from the first choice to the end of the answer.
 * All of it happens on one event loop.
 *
 * <p>A request whose fate is unknown is sent again only if its route allows that; otherwise the
 * caller gets an answer that promises nothing.
 */
final class Exchange {
  /** A send with less time than this is in vain. */
  private static final long MIN_SEND_MS = 20;

  /** Time for a server's own answer at the deadline to arrive. */
  private static final long GRACE_MS = 60;

  private static final long RETRY_SOON_MS = 250;

  /** When a caller may try again with a request that brought down several servers. */
  private static final long BLOCKED_MS = 5_000;

  /** Connections that may fail to open before the request is refused; nothing was sent then. */
  private static final int MAX_CONNECT_FAILURES = 3;

  private final Traffic traffic;
  private final ChannelHandlerContext caller;
  private final RelayedCall call;
  private final CallerSide output;
  private final KvHold kv;
  private final RunCharge charge;
  private final CallLog log;
  private final Set<String> tried = new HashSet<>();
  private Optional<Attempt> attempt = Optional.empty();
  private Optional<ServerAnswer> answer = Optional.empty();

  /** A server's own failure, which the caller gets if no other server does better. */
  private Optional<ServerAnswer> failed = Optional.empty();

  private int sends;
  private int connectFailures;
  private boolean prefillFailed;
  private boolean fateUnknown;
  private boolean over;

  Exchange(Traffic traffic, ChannelHandlerContext caller, RelayedCall call) {
    this.traffic = traffic;
    this.caller = caller;
    this.call = call;
    this.kv = new KvHold(traffic);
    this.charge = new RunCharge(traffic, call);
    this.log = new CallLog(traffic, call);
    this.output = new CallerSide(caller, call.route().kind().isStream());
  }

  void start() {
    traffic.budget(call.service()).recordRequest();
    long waitMs = call.untilMs() - DualTimestamp.monotonicNowMs() + GRACE_MS;
    traffic.after(Math.max(0, waitMs), this::timeOut);
    next();
  }

  /** Stops or goes on reading the answer, as the caller keeps up. */
  void setReading(boolean on) {
    attempt.ifPresent(current -> current.setReading(on));
  }

  /** Gives the request up, since its caller has left. */
  void cancel() {
    if (!over) {
      log.add("caller_left", "");
      attempt.ifPresent(Attempt::abandon);
      finish();
    }
  }

  private void next() {
    if (over) {
      return;
    }
    GatewayView view = traffic.view();
    DualTimestamp now = DualTimestamp.now();
    if (call.untilMs() - now.monotonicMs() < MIN_SEND_MS) {
      giveUp(Refusal.late("No time is left to send the request."));
      return;
    }
    if (traffic.crashes().isBlocked(call)) {
      giveUp(Refusal.notRun("crashes_servers", "The request ends its servers.", BLOCKED_MS));
      return;
    }
    if (call.team().isPresent() && !traffic.routing().keysCurrent(view, now)) {
      giveUp(CallRouting.stale());
      return;
    }
    choose(now.monotonicMs());
  }

  private void choose(long nowMs) {
    List<ServerLoad> servers = traffic.servers().candidates(call.service(), tried);
    ServerChooser chooser = traffic.chooser();
    if (call.prompt().isEmpty()) {
      send(chooser.chooseServer(servers, nowMs).map(Attempt::run));
      return;
    }
    Prompt prompt = call.prompt().orElseThrow();
    if (kv.source().isPresent()) {
      String near = kv.source().orElseThrow().server().domain();
      send(chooser.chooseDecodeEngine(servers, near, nowMs).map(Attempt::run));
      return;
    }
    List<ServerLoad> usable =
        prefillFailed
            ? servers.stream().filter(load -> !load.server().prefillOnly()).toList()
            : servers;
    send(chooser.planPrefill(prompt, usable, nowMs).map(Attempt::of));
  }

  private void send(Optional<Attempt> next) {
    if (next.isEmpty()) {
      giveUp(Refusal.notRun("no_server", "No server of the service can be used.", RETRY_SOON_MS));
      return;
    }
    attempt = next;
    Attempt current = next.orElseThrow();
    traffic
        .pool()
        .acquire(
            Traffic.address(current.load().server().address()),
            true,
            opened ->
                opened.fold(
                    connection -> write(current, connection),
                    failure -> notConnected(current, failure)));
  }

  private boolean write(Attempt current, HttpConnection connection) {
    if (current.ended() || over) {
      connection.abandon();
      return false;
    }
    current.writtenTo(connection);
    if (!current.prefillOnly()) {
      sends++;
    }
    log.add(
        current.prefillOnly() ? "prefill" : "forward",
        "backend=%s in_flight=%d queued_tokens=%d tokens=%d cache_source=%s send=%d left_ms=%d"
            .formatted(
                current.load().server().incarnation(),
                current.load().totalInFlight(),
                current.load().totalPromptTokens(),
                current.promptTokens(),
                current.cacheSource().map(load -> load.server().incarnation()).orElse("-"),
                sends,
                call.untilMs() - DualTimestamp.monotonicNowMs()));
    connection.send(
        request(current),
        new ResponseListener(
            this::isOwn,
            part -> take(current, part),
            output::flush,
            failure -> lost(current, failure)));
    return true;
  }

  private boolean notConnected(Attempt current, Failure failure) {
    if (current.ended() || over) {
      return false;
    }
    current.end();
    current.load().recordConnectFailure(DualTimestamp.monotonicNowMs());
    tried.add(current.load().server().incarnation());
    connectFailures++;
    log.add(
        "not_connected",
        "backend=%s cause=%s".formatted(current.load().server().incarnation(), failure.type()));
    if (connectFailures < MAX_CONNECT_FAILURES) {
      next();
    } else {
      giveUp(Refusal.notRun("not_connected", "No server could be reached.", RETRY_SOON_MS));
    }
    return false;
  }

  private FullHttpRequest request(Attempt current) {
    return OutboundRequest.of(
        call,
        current,
        kv.source(),
        output.lastEventId().or(() -> call.meta().lastEventId()),
        call.untilMs() - DualTimestamp.monotonicNowMs(),
        traffic.dialect());
  }

  private boolean isOwn(HttpResponse head) {
    Optional<String> answered = traffic.dialect().responseParser().apply(head).attemptId();
    return answered.isEmpty() || answered.equals(call.meta().attemptId());
  }

  private void take(Attempt current, HttpObject part) {
    try {
      if (over || current.ended()) {
        return;
      }
      if (part instanceof HttpResponse head) {
        ServerAnswer begun =
            new ServerAnswer(head, traffic.dialect().responseParser().apply(head), caller.alloc());
        answer.ifPresent(ServerAnswer::release);
        answer = Optional.of(begun);
      }
      if (part instanceof HttpContent content) {
        content(current, answer.orElseThrow(), content.content());
      }
      if (part instanceof LastHttpContent && !over && !current.ended()) {
        complete(current, answer.orElseThrow());
      }
    } finally {
      ReferenceCountUtil.release(part);
    }
  }

  private void content(Attempt current, ServerAnswer from, ByteBuf bytes) {
    if (!isRelayedStream(current, from)) {
      from.body().writeBytes(bytes, bytes.readerIndex(), bytes.readableBytes());
      return;
    }
    if (output.events(from.head(), bytes)) {
      began(current);
    }
  }

  private boolean isRelayedStream(Attempt current, ServerAnswer from) {
    return call.route().kind().isStream()
        && !current.prefillOnly()
        && from.isEventStream()
        && !from.isUnsealedSuccess();
  }

  /** Notes the first sign that the request runs. */
  private void began(Attempt current) {
    if (charge.charge(DualTimestamp.now())) {
      log.add(
          "first_event",
          "took_ms=%d since_ms=%d".formatted(current.tookMs(), log.sinceArrivalMs()));
      current.prefilled();
      current.load().recordResponse(current.tookMs());
      cached(current);
    }
  }

  private void cached(Attempt current) {
    call.prompt().ifPresent(prompt -> traffic.cached(current.load(), prompt));
  }

  private void complete(Attempt current, ServerAnswer from) {
    if (from.isRejection()) {
      rejected(current, from);
    } else if (from.isUnsealedSuccess() && !current.prefillOnly()) {
      lost(current, new SpoiledAnswer("the success is not sealed"));
    } else if (current.prefillOnly()) {
      prefilled(current, from);
    } else if (isRelayedStream(current, from)) {
      streamEnded(current, from);
    } else {
      answered(current, from);
    }
  }

  private void prefilled(Attempt current, ServerAnswer from) {
    byte[] json = new byte[from.body().readableBytes()];
    from.body().readBytes(json);
    current.end();
    Optional<String> handle =
        from.isSuccess()
            ? traffic.dialect().kvHandleParser().apply(json).value()
            : Optional.empty();
    if (handle.isEmpty()) {
      prefillFailed(current, "status " + from.status());
      return;
    }
    current.load().recordResponse(current.tookMs());
    cached(current);
    kv.hold(new KvSource(current.load().server(), handle.orElseThrow()));
    next();
  }

  /** The request has not run; an engine that generates can prefill it as well. */
  private void prefillFailed(Attempt current, String cause) {
    prefillFailed = true;
    log.add(
        "prefill_failed",
        "backend=%s cause=\"%s\"".formatted(current.load().server().incarnation(), cause));
    sends++;
    if (mayRepeat()) {
      next();
    } else {
      giveUp(Refusal.notRun("prefill_failed", "The prompt was not prefilled.", RETRY_SOON_MS));
    }
  }

  private void streamEnded(Attempt current, ServerAnswer from) {
    if (output.hasPartialEvent()) {
      lost(current, new SpoiledAnswer("the stream ended within an event"));
      return;
    }
    current.end();
    traffic.crashes().answered(call);
    current.load().recordResponse(current.tookMs());
    began(current);
    output.endStream(from.head());
    done(from);
  }

  private void answered(Attempt current, ServerAnswer from) {
    current.end();
    traffic.crashes().answered(call);
    if (from.isServerError()) {
      current.load().recordFailure(DualTimestamp.monotonicNowMs());
    } else {
      current.load().recordResponse(current.tookMs());
      cached(current);
    }
    charge.charge(current.sent());
    if (output.begun()) {
      broken("a server answered with status " + from.status() + " instead of going on");
      return;
    }
    if (from.isServerError() && call.route().kind().isRetryable() && mayRepeat()) {
      tried.add(current.load().server().incarnation());
      log.add(
          "repeat",
          "backend=%s cause=status_%d"
              .formatted(current.load().server().incarnation(), from.status()));
      keepFailure(from);
      next();
      return;
    }
    if (from.isEmptyPromise()) {
      fateUnknown = true;
      giveUp(Refusal.unknown("server_failed", "The server failed the request."));
      return;
    }
    whole(from);
  }

  private void whole(ServerAnswer from) {
    output.whole(from.head(), from.body().retain(), call.request().method());
    done(from);
  }

  private void done(ServerAnswer from) {
    log.add("answered", "status=%d took_ms=%d".formatted(from.status(), log.sinceArrivalMs()));
    finish();
  }

  /** The request has run, so that it can be refused no more as one that has not. */
  private void keepFailure(ServerAnswer from) {
    fateUnknown = true;
    if (failed.isEmpty() && !from.isEmptyPromise()) {
      failed = answer;
      answer = Optional.empty();
    }
  }

  private void rejected(Attempt current, ServerAnswer from) {
    current.end();
    if (from.isMisdirected()) {
      current.load().recordConnectFailure(DualTimestamp.monotonicNowMs());
    }
    String server = current.load().server().incarnation();
    log.add("rejected", "backend=%s status=%d".formatted(server, from.status()));
    if (current.prefillOnly()) {
      prefillFailed(current, "rejected with status " + from.status());
      return;
    }
    if (kv.source().isPresent()) {
      // The KV cache may be gone; the engine itself can still serve the request.
      kv.free();
    } else {
      tried.add(server);
    }
    if (mayRepeat()) {
      next();
    } else {
      giveUp(Refusal.notRun("server_full", "The server rejected the request.", RETRY_SOON_MS));
    }
  }

  private void lost(Attempt current, Failure failure) {
    if (over || current.ended()) {
      return;
    }
    current.abandon();
    current.load().recordFailure(DualTimestamp.monotonicNowMs());
    tried.add(current.load().server().incarnation());
    log.add(
        "answer_lost",
        "backend=%s cause=\"%s\" begun=%b"
            .formatted(current.load().server().incarnation(), failure.message(), output.begun()));
    if (current.prefillOnly()) {
      prefillFailed(current, failure.type());
      return;
    }
    fateUnknown = true;
    // Most servers that lose an answer have run the request, and it is charged.
    charge.charge(current.sent());
    traffic.crashes().lost(call, current.load());
    kv.forget();
    output.dropPartialEvent();
    if (call.route().kind().isRetryable() && mayRepeat()) {
      next();
    } else {
      giveUp(Refusal.unknown("answer_lost", "The server's answer was lost."));
    }
  }

  private boolean mayRepeat() {
    return sends < call.route().maxAttempts() && traffic.budget(call.service()).tryAcquire();
  }

  private void timeOut() {
    if (!over) {
      giveUp(Refusal.late("The request was not answered in time."));
    }
  }

  /** Ends the request without a server's answer. */
  private void giveUp(Refusal reason) {
    boolean running =
        attempt.filter(a -> a.written() && !a.ended() && !a.prefillOnly()).isPresent();
    attempt.ifPresent(Attempt::abandon);
    if (output.begun()) {
      broken(reason.message());
      return;
    }
    if (failed.isPresent()) {
      whole(failed.orElseThrow());
      return;
    }
    boolean mayHaveRun = running || fateUnknown;
    Refusal refusal =
        mayHaveRun ? reason.promisingNothing() : reason.promisingNotRun(RETRY_SOON_MS);
    log.add(
        "refused",
        "status=%d type=%s took_ms=%d"
            .formatted(refusal.status(), refusal.type(), log.sinceArrivalMs()));
    traffic.metrics().count("refused." + refusal.type());
    Answers.refuse(caller, refusal);
    finish();
  }

  private void broken(String reason) {
    log.add("stream_broken", "cause=\"%s\" took_ms=%d".formatted(reason, log.sinceArrivalMs()));
    traffic.metrics().count("stream_broken");
    finish();
    caller.close();
  }

  private void finish() {
    over = true;
    freeUnusedKv();
    answer.ifPresent(ServerAnswer::release);
    answer = Optional.empty();
    failed.ifPresent(ServerAnswer::release);
    failed = Optional.empty();
    output.release();
    call.request().release();
  }

  private void freeUnusedKv() {
    boolean taken = attempt.filter(a -> a.written() && !a.prefillOnly()).isPresent();
    if (!taken) {
      kv.free();
    }
  }
}
