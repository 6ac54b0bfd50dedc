package io.samphiregauge.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.samphiregauge.core.result.Failure;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.core.route.Candidate;
import io.samphiregauge.core.route.Route;
import io.samphiregauge.core.route.RouteRequest;
import io.samphiregauge.core.route.RoutingPolicy;
import io.samphiregauge.net.Codec;
import io.samphiregauge.schema.config.Backend;
import io.samphiregauge.schema.config.BackendKind;
import io.samphiregauge.schema.config.Settings;
import io.samphiregauge.schema.config.Team;
import io.samphiregauge.schema.entry.DirectoryAnswer;
import io.samphiregauge.schema.entry.EntryAddress;
import io.samphiregauge.schema.entry.ErrorAnswer;
import io.samphiregauge.schema.entry.ErrorDetail;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/** Answers the requests of one caller's connection, one at a time. */
final class EntryHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
  private static final Logger LOG = System.getLogger(EntryHandler.class.getName());

  private final Supplier<Snapshot> snapshots;
  private final RoutingPolicy policy;
  private final Settings settings;

  EntryHandler(Supplier<Snapshot> snapshots, RoutingPolicy policy, Settings settings) {
    this.snapshots = snapshots;
    this.policy = policy;
    this.settings = settings;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
    String path = new QueryStringDecoder(request.uri()).path();
    if (path.equals("/healthz")) {
      answer(ctx, HttpResponseStatus.OK, "ok");
      return;
    }
    if (path.equals("/v1/directory")) {
      answer(ctx, HttpResponseStatus.OK, directory());
      return;
    }
    if (path.equals("/v1/chat/completions") || path.equals("/v1/completions")) {
      complete(ctx, request, path);
      return;
    }
    refuse(ctx, EntryFailure.notRun(404, "unknown_route", "There is no route " + path + "."));
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    Relay.resumeReading(ctx.channel());
    ctx.fireChannelWritabilityChanged();
  }

  private void complete(ChannelHandlerContext ctx, FullHttpRequest request, String path) {
    Snapshot snapshot = snapshots.get();
    byte[] body = ByteBufUtil.getBytes(request.content());
    Optional<String> key =
        Optional.ofNullable(request.headers().get(HttpHeaderNames.AUTHORIZATION));
    Result<String> model = model(body);
    Result<Route> route =
        model.flatMap(
            name ->
                Admission.team(snapshot.state().config(), key)
                    .flatMap(team -> Admission.mayUse(team, name))
                    .flatMap(team -> route(snapshot, team, name)));
    route.failure().ifPresent(failure -> refuse(ctx, failure));
    route
        .value()
        .ifPresent(choice -> Relay.start(ctx.channel(), choice.candidate().backend(), path, body));
  }

  private Result<Route> route(Snapshot snapshot, Team team, String model) {
    RouteRequest request =
        new RouteRequest(
            Optional.of(team.getName()),
            Optional.of(model),
            Optional.empty(),
            0,
            Optional.empty(),
            true);
    List<Candidate> candidates =
        snapshot.state().config().backends().stream()
            .filter(backend -> serves(backend, model))
            .map(backend -> new Candidate(backend, 0, 0, hopUs(backend)))
            .toList();
    Optional<Route> route = policy.choose(request, candidates);
    route.ifPresent(choice -> logRoute(team, model, choice));
    return route
        .<Result<Route>>map(Result::success)
        .orElseGet(
            () ->
                Result.failed(
                    EntryFailure.notRun(
                        503, "no_backend", "No backend server serves the model " + model + ".")));
  }

  private void logRoute(Team team, String model, Route route) {
    LOG.log(
        Level.INFO,
        "event=route team={0} model={1} backend={2} candidates={3} reason={4}",
        team.getName(),
        model,
        route.candidate().backend().getName(),
        route.considered(),
        route.reason());
  }

  private int hopUs(Backend backend) {
    return backend.getFailureDomain().equals(settings.getFailureDomain())
        ? 0
        : settings.getDomainHopUs();
  }

  private static boolean serves(Backend backend, String model) {
    return backend.getKind() == BackendKind.ENGINE
        && backend.getModels().stream().anyMatch(m -> m.equals(model) || m.startsWith(model + "@"));
  }

  private static Result<String> model(byte[] body) {
    return Codec.json()
        .decodeTree(body)
        .map((JsonNode tree) -> tree.path("model").asText(""))
        .flatMap(
            name ->
                name.isEmpty()
                    ? Result.failed(
                        EntryFailure.notRun(
                            400, "missing_field", "The body has no field \"model\"."))
                    : Result.success(name));
  }

  private DirectoryAnswer directory() {
    List<EntryAddress> addresses =
        snapshots.get().state().processes().values().stream()
            .filter(process -> !process.isEnded())
            .map(
                process ->
                    new EntryAddress(
                        process.getJoined().getHttpAddress(),
                        process.getJoined().getFailureDomain()))
            .toList();
    return new DirectoryAnswer(addresses, settings.getDirectoryKeepMs(), List.of());
  }

  static void refuse(ChannelHandlerContext ctx, Failure failure) {
    EntryFailure typed =
        failure instanceof EntryFailure entry
            ? entry
            : EntryFailure.notRun(400, failure.type(), failure.message());
    ErrorDetail detail = new ErrorDetail(typed.type(), typed.message(), typed.outcome());
    answer(ctx, HttpResponseStatus.valueOf(typed.status()), new ErrorAnswer(detail));
  }

  private static void answer(ChannelHandlerContext ctx, HttpResponseStatus status, Object message) {
    byte[] body = Codec.json().encode(message);
    var response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
    response
        .headers()
        .set(HttpHeaderNames.CONTENT_TYPE, "application/json")
        .set(HttpHeaderNames.CONTENT_LENGTH, body.length);
    ctx.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
  }
}
