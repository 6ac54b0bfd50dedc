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
import io.samphiregauge.core.result.Failure;
import io.samphiregauge.net.RequestError;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/**
 * Handles the requests on one caller's connection. The preceding handlers aggregate each request
 * and pass on the next one only after the response to the previous one.
 */
final class CallerHandler extends ChannelDuplexHandler {
  private static final Logger LOG = System.getLogger(CallerHandler.class.getName());

  private final EventLoopContext loopContext;
  private final BooleanSupplier stopping;
  private Optional<ProxyExchange> exchange = Optional.empty();

  CallerHandler(EventLoopContext loopContext, BooleanSupplier stopping) {
    this.loopContext = loopContext;
    this.stopping = stopping;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    exchange = Optional.empty();
    if (message instanceof FullHttpRequest request) {
      loopContext.metrics().increment("requests");
      loopContext
          .router()
          .route(request, loopContext.view(), DualTimestamp.now())
          .fold(
              routed -> startExchange(ctx, routed), failure -> sendRefusal(ctx, request, failure));
    } else if (message instanceof RequestError error) {
      loopContext
          .decisionLog()
          .add("bad_request", "-", "status=" + error.status() + " type=" + error.type());
      GatewayResponses.sendError(
          ctx, new ErrorResponse(error.status(), error.type(), error.message(), 0));
    } else {
      ReferenceCountUtil.release(message);
    }
  }

  private boolean startExchange(ChannelHandlerContext ctx, RoutedRequest request) {
    ProxyExchange started = new ProxyExchange(loopContext, ctx, request);
    exchange = Optional.of(started);
    started.start();
    return true;
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
    if (part instanceof HttpResponse head && stopping.getAsBoolean()) {
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
  public void channelInactive(ChannelHandlerContext ctx) {
    Optional<ProxyExchange> unfinished = exchange;
    exchange = Optional.empty();
    unfinished.ifPresent(ProxyExchange::cancel);
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
