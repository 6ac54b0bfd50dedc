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

/** Dispatches callers' requests by path; each event loop has its own. */
final class RequestDispatcher {
  private static final String OUTCOMES_PATH = "/v1/outcomes/";

  private final EventLoopState loopState;
  private final BackendIndex index;
  private final DirectoryService directoryService;
  private final TicketCallRunner ticketRunner;
  private final StatusPages statusPages;

  RequestDispatcher(
      EventLoopState loopState,
      BackendIndex index,
      DirectoryService directoryService,
      TicketCallRunner ticketRunner,
      StatusPages statusPages) {
    this.loopState = loopState;
    this.index = index;
    this.directoryService = directoryService;
    this.ticketRunner = ticketRunner;
    this.statusPages = statusPages;
  }

  /** Responds to a request, or returns the execution of its call, which has yet to be started. */
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
      handleDirectory(ctx, request);
    } else if (!statusPages.handle(ctx, path)) {
      EntryFailure failure =
          EntryFailure.notRun(404, "unknown_route", "The entry has no such route.");
      ResponseWriter.writeError(ctx, failure);
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
    Optional<String> ticketHeader = CallerHeaders.get(request.headers(), Ticket.HEADER);
    boolean idempotent =
        call.value().filter(parsed -> parsed.routeRequest().idempotent()).isPresent();
    if (idempotent || (ticketHeader.isEmpty() && call.value().isEmpty())) {
      return createExecution(ctx, call);
    }
    if (ticketHeader.isEmpty()) {
      writeTicketRequired(ctx);
      return Optional.empty();
    }
    Result<Ticket> ticket = Ticket.parse(ticketHeader.get());
    if (ticket.value().isEmpty()) {
      ticket
          .failure()
          .ifPresent(failure -> ResponseWriter.writeError(ctx, EntryFailure.notRun(failure)));
      return Optional.empty();
    }
    return routeTicket(ctx, request, ticket.value().get(), call);
  }

  private Optional<CallExecution> createExecution(
      ChannelHandlerContext ctx, Result<BackendCall> call) {
    call.failure()
        .ifPresent(failure -> ResponseWriter.writeError(ctx, EntryFailure.notRun(failure)));
    return call.value()
        .map(
            parsed ->
                new CallExecution(loopState, parsed, CallerResponseSink.create(ctx), () -> true));
  }

  private void writeTicketRequired(ChannelHandlerContext ctx) {
    Result<Ticket> ticket = ticketRunner.issue(loopState);
    ticket.value().ifPresent(issued -> ResponseWriter.writeTicketRequired(ctx, issued.text()));
    ticket
        .failure()
        .ifPresent(
            failure ->
                ResponseWriter.writeError(
                    ctx, EntryFailure.notRun(503, failure.type(), failure.message())));
  }

  /**
   * Runs a request if this process owns its ticket; otherwise forwards it to the owner, or rejects
   * it if no process may run it.
   */
  private Optional<CallExecution> routeTicket(
      ChannelHandlerContext ctx, FullHttpRequest request, Ticket ticket, Result<BackendCall> call) {
    boolean forwarded = request.headers().contains(CallerHeaders.FORWARDED_HEADER);
    TicketRoute route =
        TicketRouting.route(ticket, loopState.context().self(), view().state(), forwarded);
    if (route instanceof TicketRoute.Unroutable unroutable) {
      ResponseWriter.writeTicketReply(ctx, unroutable.reply());
    } else if (route instanceof TicketRoute.Forward forward) {
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
            failure ->
                ResponseWriter.writeTicketReply(
                    ctx, TicketRouting.refusal(Optional.of(ticket), EntryFailure.notRun(failure))));
    call.value()
        .ifPresent(
            parsed ->
                ticketRunner.run(
                    ticket, parsed, this::checkFresh, reply -> writeReply(ctx, reply)));
  }

  private static void writeReply(ChannelHandlerContext ctx, TicketReply reply) {
    ctx.executor().execute(() -> ResponseWriter.writeTicketReply(ctx, reply));
  }

  /** Returns a failure if this process may be fenced, which forbids any call with a ticket. */
  private Optional<Failure> checkFresh() {
    return view().fresh() ? Optional.empty() : Optional.of(AccessControl.configurationUnknown());
  }

  private void handleOutcome(
      ChannelHandlerContext ctx, FullHttpRequest request, String ticketText) {
    Result<Ticket> ticket = Ticket.parse(ticketText);
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
    TicketRoute route =
        TicketRouting.route(ticket, loopState.context().self(), view().state(), forwarded);
    if (route instanceof TicketRoute.Forward forward) {
      new TicketForwarder(loopState, ctx, forward)
          .send(request, CallerHeaders.forEntry(request.headers()));
    } else if (route instanceof TicketRoute.Local) {
      ticketRunner.queryOutcome(
          ticket, team, outcome -> writeOutcome(ctx, new OutcomeAnswer(ticket.text(), outcome)));
    } else {
      writeOutcome(ctx, new OutcomeAnswer(ticket.text(), TicketOutcome.UNKNOWN));
    }
  }

  private static void writeOutcome(ChannelHandlerContext ctx, OutcomeAnswer response) {
    ctx.executor().execute(() -> ResponseWriter.writeJson(ctx, HttpResponseStatus.OK, response));
  }

  private void handleDirectory(ChannelHandlerContext ctx, FullHttpRequest request) {
    InetSocketAddress remoteAddress = (InetSocketAddress) ctx.channel().remoteAddress();
    String callerId =
        CallParser.authorization(request).orElse("") + remoteAddress.getAddress().getHostAddress();
    ResponseWriter.writeJson(
        ctx,
        HttpResponseStatus.OK,
        directoryService.lookUp(
            new QueryStringDecoder(request.uri()),
            callerId,
            index,
            () -> ticketRunner.issue(loopState).value()));
  }

  private TrafficView view() {
    return loopState.context().viewSupplier().get();
  }

  private long nowMs() {
    return loopState.context().clock().nowMs();
  }
}
