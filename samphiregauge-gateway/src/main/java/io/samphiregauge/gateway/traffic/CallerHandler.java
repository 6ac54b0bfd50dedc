package io.samphiregauge.gateway.traffic;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.admit.ShutdownWindow;
import io.samphiregauge.core.quota.QuotaCharge;
import io.samphiregauge.core.result.Failure;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.net.HttpServer;
import io.samphiregauge.net.RequestError;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Handles the requests on one caller's connection. The preceding handlers aggregate each request
 * and pass on the next one only after the response to the previous one.
 */
final class CallerHandler extends ChannelDuplexHandler {
  private static final Logger LOG = System.getLogger(CallerHandler.class.getName());

  /** Retry-After during a shutdown; another entry can serve the request at once. */
  private static final long SHUTDOWN_RETRY_MS = 50;

  private final EventLoopContext loopContext;
  private final Supplier<Optional<ShutdownWindow>> shutdown;
  private Optional<ProxyExchange> exchange = Optional.empty();
  private Optional<QuotaWait> quotaWait = Optional.empty();

  /**
   * Creates the handler of a connection.
   *
   * @param loopContext state of the event loop of the connection
   * @param shutdown provides the shutdown of this entry, once it has begun
   */
  CallerHandler(EventLoopContext loopContext, Supplier<Optional<ShutdownWindow>> shutdown) {
    this.loopContext = loopContext;
    this.shutdown = shutdown;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    exchange = Optional.empty();
    if (message instanceof FullHttpRequest request) {
      loopContext.metrics().increment("requests");
      loopContext
          .router()
          .route(request, loopContext.view(), DualTimestamp.now(), arrivedAtMs(ctx))
          .flatMap(this::admitDuringShutdown)
          .fold(routed -> checkQuota(ctx, routed), failure -> sendRefusal(ctx, request, failure));
    } else if (message instanceof RequestError error) {
      loopContext
          .decisionLog()
          .add("bad_request", "-", "status=" + error.status() + " type=" + error.type());
      GatewayResponses.sendError(
          ctx,
          new ErrorResponse(error.status(), error.type(), error.message(), error.retryAfterMs()));
    } else {
      ReferenceCountUtil.release(message);
    }
  }

  private static long arrivedAtMs(ChannelHandlerContext ctx) {
    return Optional.ofNullable(ctx.channel().attr(HttpServer.ARRIVED_AT_MS).get())
        .orElseGet(DualTimestamp::monotonicNowMs);
  }

  /** Refuses a request that may still be running when this entry exits. */
  private Result<RoutedRequest> admitDuringShutdown(RoutedRequest request) {
    long arrivedAtMs = request.arrivedAt().monotonicMs();
    boolean accepted =
        shutdown
            .get()
            .map(window -> window.accepts(request.deadlineAtMs(), arrivedAtMs))
            .orElse(true);
    return accepted
        ? Result.success(request)
        : Result.failed(
            ErrorResponse.notRun(
                "shutting_down",
                "This entry is stopping and may exit before the response.",
                SHUTDOWN_RETRY_MS));
  }

  private boolean checkQuota(ChannelHandlerContext ctx, RoutedRequest request) {
    QuotaWait wait =
        new QuotaWait(
            request,
            charge -> startExchange(ctx, request, charge),
            error -> refuse(ctx, request, error));
    quotaWait = Optional.of(wait);
    loopContext.quotaGate().submit(wait);
    return true;
  }

  private void startExchange(
      ChannelHandlerContext ctx, RoutedRequest request, Optional<QuotaCharge> charge) {
    quotaWait = Optional.empty();
    ProxyExchange started =
        new ProxyExchange(loopContext, ctx, request, new QuotaSettlement(loopContext, charge));
    exchange = Optional.of(started);
    started.start();
  }

  private void refuse(ChannelHandlerContext ctx, RoutedRequest request, ErrorResponse error) {
    quotaWait = Optional.empty();
    sendRefusal(ctx, request.httpRequest(), error);
  }

  /** Ends the wait for the quota, and returns the request if it was waiting. */
  private Optional<RoutedRequest> endQuotaWait() {
    Optional<QuotaWait> ended = quotaWait;
    quotaWait = Optional.empty();
    ended.ifPresent(loopContext.quotaGate()::cancel);
    return ended.map(QuotaWait::request);
  }

  private boolean sendRefusal(ChannelHandlerContext ctx, FullHttpRequest request, Failure failure) {
    ErrorResponse error = (ErrorResponse) failure;
    String id = loopContext.dialect().requestParser().apply(request).attemptId().orElse("-");
    loopContext
        .decisionLog()
        .add("refused", id, "status=" + error.status() + " type=" + error.type());
    loopContext.metrics().increment("refused." + error.type());
    request.release();
    GatewayResponses.sendError(ctx, error);
    return false;
  }

  @Override
  public void write(ChannelHandlerContext ctx, Object part, ChannelPromise promise) {
    if (part instanceof HttpResponse head && shutdown.get().isPresent()) {
      HttpUtil.setKeepAlive(head, false);
    }
    if (part instanceof LastHttpContent) {
      exchange = Optional.empty();
    }
    ctx.write(part, promise);
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    boolean writable = ctx.channel().isWritable();
    exchange.ifPresent(current -> current.setReadEnabled(writable));
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
    if (event == HttpServer.RESPOND_NOW) {
      exchange.ifPresent(ProxyExchange::onShutdownEnd);
      endQuotaWait()
          .ifPresent(
              request ->
                  sendRefusal(
                      ctx,
                      request.httpRequest(),
                      ErrorResponse.notRun(
                          "shutting_down", "This entry exits now.", SHUTDOWN_RETRY_MS)));
    } else {
      ctx.fireUserEventTriggered(event);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    Optional<ProxyExchange> unfinished = exchange;
    exchange = Optional.empty();
    unfinished.ifPresent(ProxyExchange::cancel);
    endQuotaWait().ifPresent(request -> request.httpRequest().release());
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    // The other two are expected: a caller resets its connection, or closes it within a body.
    if (!(cause instanceof IOException) && !(cause instanceof CodecException)) {
      LOG.log(Level.ERROR, "event=caller_failed", cause);
    }
    ctx.close();
  }
}
