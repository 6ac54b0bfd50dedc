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
final class Routes {
  private static final String OUTCOMES = "/v1/outcomes/";

  private final TrafficLoop loop;
  private final BackendIndex index;
  private final Directory directory;
  private final TicketDesk tickets;
  private final StatusPages pages;

  Routes(
      TrafficLoop loop,
      BackendIndex index,
      Directory directory,
      TicketDesk tickets,
      StatusPages pages) {
    this.loop = loop;
    this.index = index;
    this.directory = directory;
    this.tickets = tickets;
    this.pages = pages;
  }

  /** Answers a request, or returns the exchange that will answer it once it is started. */
  Optional<Exchange> handle(ChannelHandlerContext ctx, FullHttpRequest request) {
    int query = request.uri().indexOf('?');
    String path = query < 0 ? request.uri() : request.uri().substring(0, query);
    if (path.equals("/v1/chat/completions") || path.equals("/v1/completions")) {
      return complete(ctx, request);
    }
    if (path.startsWith(CallReader.SERVICES)) {
      return serve(ctx, request, path);
    }
    if (path.startsWith(OUTCOMES)) {
      outcome(ctx, request, path.substring(OUTCOMES.length()));
    } else if (path.equals("/v1/directory")) {
      directory(ctx, request);
    } else if (!pages.answer(ctx, path)) {
      EntryFailure unknown =
          EntryFailure.notRun(404, "unknown_route", "There is no such route on an entry.");
      CallerAnswers.refuse(ctx, unknown);
    }
    return Optional.empty();
  }

  private Optional<Exchange> complete(ChannelHandlerContext ctx, FullHttpRequest request) {
    return started(ctx, CallReader.completion(request, view(), nowMs()));
  }

  private Optional<Exchange> serve(
      ChannelHandlerContext ctx, FullHttpRequest request, String path) {
    Result<Call> call = CallReader.service(request, path, view(), nowMs());
    Optional<String> text = CallerHeaders.get(request.headers(), Ticket.HEADER);
    boolean idempotent = call.value().filter(c -> c.route().idempotent()).isPresent();
    if (idempotent || (text.isEmpty() && call.value().isEmpty())) {
      return started(ctx, call);
    }
    if (text.isEmpty()) {
      requireTicket(ctx);
      return Optional.empty();
    }
    Result<Ticket> ticket = Ticket.parse(text.get());
    if (ticket.value().isEmpty()) {
      ticket.failure().ifPresent(f -> CallerAnswers.refuse(ctx, EntryFailure.notRun(f)));
      return Optional.empty();
    }
    return place(ctx, request, ticket.value().get(), call);
  }

  private Optional<Exchange> started(ChannelHandlerContext ctx, Result<Call> call) {
    call.failure().ifPresent(f -> CallerAnswers.refuse(ctx, EntryFailure.notRun(f)));
    return call.value().map(c -> new Exchange(loop, c, CallerOutput.of(ctx), () -> true));
  }

  private void requireTicket(ChannelHandlerContext ctx) {
    Result<Ticket> ticket = tickets.issue(loop);
    ticket.value().ifPresent(issued -> CallerAnswers.requireTicket(ctx, issued.text()));
    ticket
        .failure()
        .ifPresent(f -> CallerAnswers.refuse(ctx, EntryFailure.notRun(503, f.type(), f.message())));
  }

  /** Hands a request with a ticket to the process that may run it. */
  private Optional<Exchange> place(
      ChannelHandlerContext ctx, FullHttpRequest request, Ticket ticket, Result<Call> call) {
    boolean forwarded = request.headers().contains(CallerHeaders.FORWARDED);
    TicketRoute place = TicketRouting.route(ticket, loop.parts().self(), view().state(), forwarded);
    if (place instanceof TicketRoute.Unroutable nowhere) {
      CallerAnswers.reply(ctx, nowhere.reply());
    } else if (place instanceof TicketRoute.Forward forward) {
      HttpHeaders headers = CallerHeaders.forEntry(request.headers());
      new TicketForward(loop, ctx, forward).send(request, headers);
    } else {
      runHere(ctx, ticket, call);
    }
    return Optional.empty();
  }

  private void runHere(ChannelHandlerContext ctx, Ticket ticket, Result<Call> call) {
    call.failure()
        .ifPresent(
            f ->
                CallerAnswers.reply(
                    ctx, TicketRouting.refusal(Optional.of(ticket), EntryFailure.notRun(f))));
    call.value()
        .ifPresent(
            admitted ->
                tickets.run(ticket, admitted, this::obstacle, reply -> deliver(ctx, reply)));
  }

  private static void deliver(ChannelHandlerContext ctx, TicketReply reply) {
    ctx.executor().execute(() -> CallerAnswers.reply(ctx, reply));
  }

  /** A call with a ticket, even on an open route, needs a process that is not fenced. */
  private Optional<Failure> obstacle() {
    return view().fresh() ? Optional.empty() : Optional.of(Admission.configurationUnknown());
  }

  private void outcome(ChannelHandlerContext ctx, FullHttpRequest request, String text) {
    Result<Ticket> ticket = Ticket.parse(text);
    Result<String> team =
        CallReader.authorization(request).isEmpty()
            ? Result.success("-")
            : Admission.team(view(), CallReader.authorization(request)).map(Team::getName);
    Optional<Failure> failure = ticket.failure().or(team::failure);
    if (failure.isPresent()) {
      CallerAnswers.refuse(ctx, EntryFailure.notRun(failure.get()));
      return;
    }
    outcome(ctx, request, ticket.value().get(), team.value().get());
  }

  private void outcome(
      ChannelHandlerContext ctx, FullHttpRequest request, Ticket ticket, String team) {
    boolean forwarded = request.headers().contains(CallerHeaders.FORWARDED);
    TicketRoute place = TicketRouting.route(ticket, loop.parts().self(), view().state(), forwarded);
    if (place instanceof TicketRoute.Forward forward) {
      new TicketForward(loop, ctx, forward)
          .send(request, CallerHeaders.forEntry(request.headers()));
    } else if (place instanceof TicketRoute.Local) {
      tickets.outcome(
          ticket, team, outcome -> answerOutcome(ctx, new OutcomeAnswer(ticket.text(), outcome)));
    } else {
      answerOutcome(ctx, new OutcomeAnswer(ticket.text(), TicketOutcome.UNKNOWN));
    }
  }

  private static void answerOutcome(ChannelHandlerContext ctx, OutcomeAnswer answer) {
    ctx.executor().execute(() -> CallerAnswers.json(ctx, HttpResponseStatus.OK, answer));
  }

  private void directory(ChannelHandlerContext ctx, FullHttpRequest request) {
    InetSocketAddress caller = (InetSocketAddress) ctx.channel().remoteAddress();
    String who =
        CallReader.authorization(request).orElse("") + caller.getAddress().getHostAddress();
    CallerAnswers.json(
        ctx,
        HttpResponseStatus.OK,
        directory.answer(
            new QueryStringDecoder(request.uri()), who, index, () -> tickets.issue(loop).value()));
  }

  private TrafficView view() {
    return loop.parts().views().get();
  }

  private long nowMs() {
    return loop.parts().clock().nowMs();
  }
}
