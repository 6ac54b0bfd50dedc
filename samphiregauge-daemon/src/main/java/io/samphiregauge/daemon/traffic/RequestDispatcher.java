package io.samphiregauge.daemon.traffic;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.samphiregauge.core.result.Failure;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.core.ticket.Ticket;
import io.samphiregauge.core.ticket.TicketReply;
import io.samphiregauge.core.ticket.TicketRoute;
import io.samphiregauge.core.ticket.TicketRouting;
import io.samphiregauge.schema.config.Team;
import io.samphiregauge.schema.entry.OutcomeAnswer;
import io.samphiregauge.schema.entry.TicketOutcome;
import java.net.InetSocketAddress;
import java.util.Optional;

/** Finds out what a request asks for, and begins to answer it. */
final class RequestDispatcher {
  private static final String OUTCOMES_PATH = "/v1/outcomes/";

  private final EventLoopState loopState;
  private final BackendIndex index;
  private final DirectoryService directory;
  private final TicketCallRunner tickets;
  private final StatusPages statusPages;

  RequestDispatcher(
      EventLoopState loop,
      BackendIndex index,
      DirectoryService directory,
      TicketCallRunner tickets,
      StatusPages pages) {
    this.loopState = loop;
    this.index = index;
    this.directory = directory;
    this.tickets = tickets;
    this.statusPages = pages;
  }

  /** Answers a request, or returns the exchange that will answer it once it is started. */
  Optional<CallExecution> handle(ChannelHandlerContext ctx, FullHttpRequest request) {
    int query = request.uri().indexOf('?');
    String path = query < 0 ? request.uri() : request.uri().substring(0, query);
    if (path.equals("/v1/chat/completions") || path.equals("/v1/completions")) {
      return handleCompletion(ctx, request);
    }
    if (path.startsWith(CallParser.SERVICES_PATH)) {
      return handleService(ctx, request, path);
    }
    if (path.startsWith(OUTCOMES_PATH)) {
      handleOutcome(ctx, request, path.substring(OUTCOMES_PATH.length()));
    } else if (path.equals("/v1/directory")) {
      directory(ctx, request);
    } else if (!statusPages.handle(ctx, path)) {
      EntryFailure unknown =
          EntryFailure.notRun(404, "unknown_route", "There is no such route on an entry.");
      ResponseWriter.writeError(ctx, unknown);
    }
    return Optional.empty();
  }

  private Optional<CallExecution> handleCompletion(
      ChannelHandlerContext ctx, FullHttpRequest request) {
    return createExecution(ctx, CallParser.parseCompletion(request, view(), nowMs()));
  }

  private Optional<CallExecution> handleService(
      ChannelHandlerContext ctx, FullHttpRequest request, String path) {
    Result<BackendCall> call = CallParser.parseServiceCall(request, path, view(), nowMs());
    Optional<String> text = CallerHeaders.get(request.headers(), Ticket.HEADER);
    boolean idempotent = call.value().filter(c -> c.routeRequest().idempotent()).isPresent();
    if (idempotent || (text.isEmpty() && call.value().isEmpty())) {
      return createExecution(ctx, call);
    }
    if (text.isEmpty()) {
      writeTicketRequired(ctx);
      return Optional.empty();
    }
    Result<Ticket> ticket = Ticket.parse(text.get());
    if (ticket.value().isEmpty()) {
      ticket.failure().ifPresent(f -> ResponseWriter.writeError(ctx, EntryFailure.notRun(f)));
      return Optional.empty();
    }
    return routeTicket(ctx, request, ticket.value().get(), call);
  }

  private Optional<CallExecution> createExecution(
      ChannelHandlerContext ctx, Result<BackendCall> call) {
    call.failure().ifPresent(f -> ResponseWriter.writeError(ctx, EntryFailure.notRun(f)));
    return call.value()
        .map(c -> new CallExecution(loopState, c, CallerResponseSink.create(ctx), () -> true));
  }

  private void writeTicketRequired(ChannelHandlerContext ctx) {
    Result<Ticket> ticket = tickets.issue(loopState);
    ticket.value().ifPresent(issued -> ResponseWriter.writeTicketRequired(ctx, issued.text()));
    ticket
        .failure()
        .ifPresent(
            f -> ResponseWriter.writeError(ctx, EntryFailure.notRun(503, f.type(), f.message())));
  }

  /** Hands a request with a ticket to the process that may run it. */
  private Optional<CallExecution> routeTicket(
      ChannelHandlerContext ctx, FullHttpRequest request, Ticket ticket, Result<BackendCall> call) {
    boolean forwarded = request.headers().contains(CallerHeaders.FORWARDED_HEADER);
    TicketRoute place =
        TicketRouting.route(ticket, loopState.context().self(), view().state(), forwarded);
    if (place instanceof TicketRoute.Unroutable nowhere) {
      ResponseWriter.writeTicketReply(ctx, nowhere.reply());
    } else if (place instanceof TicketRoute.Forward forward) {
      HttpHeaders headers = CallerHeaders.forEntry(request.headers());
      new TicketForwarder(loopState, ctx, forward).send(request, headers);
    } else {
      runLocally(ctx, ticket, call);
    }
    return Optional.empty();
  }

  private void runLocally(ChannelHandlerContext ctx, Ticket ticket, Result<BackendCall> call) {
    call.failure()
        .ifPresent(
            f ->
                ResponseWriter.writeTicketReply(
                    ctx, TicketRouting.refusal(Optional.of(ticket), EntryFailure.notRun(f))));
    call.value()
        .ifPresent(
            admitted ->
                tickets.run(ticket, admitted, this::checkFresh, reply -> writeReply(ctx, reply)));
  }

  private static void writeReply(ChannelHandlerContext ctx, TicketReply reply) {
    ctx.executor().execute(() -> ResponseWriter.writeTicketReply(ctx, reply));
  }

  /** A call with a ticket, even on an open route, needs a process that is not fenced. */
  private Optional<Failure> checkFresh() {
    return view().fresh() ? Optional.empty() : Optional.of(AccessControl.configurationUnknown());
  }

  private void handleOutcome(ChannelHandlerContext ctx, FullHttpRequest request, String text) {
    Result<Ticket> ticket = Ticket.parse(text);
    Result<String> team =
        CallParser.authorization(request).isEmpty()
            ? Result.success("-")
            : AccessControl.authenticate(view(), CallParser.authorization(request))
                .map(Team::getName);
    Optional<Failure> failure = ticket.failure().or(team::failure);
    if (failure.isPresent()) {
      ResponseWriter.writeError(ctx, EntryFailure.notRun(failure.get()));
      return;
    }
    handleOutcome(ctx, request, ticket.value().get(), team.value().get());
  }

  private void handleOutcome(
      ChannelHandlerContext ctx, FullHttpRequest request, Ticket ticket, String team) {
    boolean forwarded = request.headers().contains(CallerHeaders.FORWARDED_HEADER);
    TicketRoute place =
        TicketRouting.route(ticket, loopState.context().self(), view().state(), forwarded);
    if (place instanceof TicketRoute.Forward forward) {
      new TicketForwarder(loopState, ctx, forward)
          .send(request, CallerHeaders.forEntry(request.headers()));
    } else if (place instanceof TicketRoute.Local) {
      tickets.queryOutcome(
          ticket, team, outcome -> writeOutcome(ctx, new OutcomeAnswer(ticket.text(), outcome)));
    } else {
      writeOutcome(ctx, new OutcomeAnswer(ticket.text(), TicketOutcome.UNKNOWN));
    }
  }

  private static void writeOutcome(ChannelHandlerContext ctx, OutcomeAnswer answer) {
    ctx.executor().execute(() -> ResponseWriter.writeJson(ctx, HttpResponseStatus.OK, answer));
  }

  private void directory(ChannelHandlerContext ctx, FullHttpRequest request) {
    InetSocketAddress caller = (InetSocketAddress) ctx.channel().remoteAddress();
    String who =
        CallParser.authorization(request).orElse("") + caller.getAddress().getHostAddress();
    ResponseWriter.writeJson(
        ctx,
        HttpResponseStatus.OK,
        directory.lookUp(
            new QueryStringDecoder(request.uri()),
            who,
            index,
            () -> tickets.issue(loopState).value()));
  }

  private TrafficView view() {
    return loopState.context().viewSupplier().get();
  }

  private long nowMs() {
    return loopState.context().clock().nowMs();
  }
}
