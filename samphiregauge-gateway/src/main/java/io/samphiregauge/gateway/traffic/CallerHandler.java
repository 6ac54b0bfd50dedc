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
import io.samphiregauge.core.result.Failure;
import io.samphiregauge.gateway.DualTimestamp;
import io.samphiregauge.net.RequestError;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/** One caller's connection, whose requests arrive whole and one at a time. */
final class CallerHandler extends ChannelDuplexHandler {
  private static final Logger LOG = System.getLogger(CallerHandler.class.getName());

  private final Traffic traffic;
  private final BooleanSupplier stopping;
  private Optional<Exchange> exchange = Optional.empty();

  CallerHandler(Traffic traffic, BooleanSupplier stopping) {
    this.traffic = traffic;
    this.stopping = stopping;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    exchange = Optional.empty();
    if (message instanceof FullHttpRequest request) {
      traffic.metrics().count("requests");
      traffic
          .routing()
          .route(request, traffic.view(), DualTimestamp.now())
          .fold(call -> start(ctx, call), failure -> refuse(ctx, request, failure));
    } else if (message instanceof RequestError fault) {
      traffic
          .decisions()
          .add("bad_request", "-", "status=" + fault.status() + " type=" + fault.type());
      Answers.refuse(ctx, new Refusal(fault.status(), fault.type(), fault.message(), 0));
    } else {
      ReferenceCountUtil.release(message);
    }
  }

  private boolean start(ChannelHandlerContext ctx, RelayedCall call) {
    Exchange started = new Exchange(traffic, ctx, call);
    exchange = Optional.of(started);
    started.start();
    return true;
  }

  private boolean refuse(ChannelHandlerContext ctx, FullHttpRequest request, Failure failure) {
    Refusal refusal = (Refusal) failure;
    String id = traffic.dialect().requestParser().apply(request).attemptId().orElse("-");
    traffic
        .decisions()
        .add("refused", id, "status=" + refusal.status() + " type=" + refusal.type());
    traffic.metrics().count("refused." + refusal.type());
    request.release();
    Answers.refuse(ctx, refusal);
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
    exchange.ifPresent(running -> running.setReading(writable));
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    Optional<Exchange> running = exchange;
    exchange = Optional.empty();
    running.ifPresent(Exchange::cancel);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    // A caller may reset its connection, or leave in the middle of a body.
    if (!(cause instanceof IOException) && !(cause instanceof CodecException)) {
      LOG.log(Level.ERROR, "event=caller_failed", cause);
    }
    ctx.close();
  }
}
