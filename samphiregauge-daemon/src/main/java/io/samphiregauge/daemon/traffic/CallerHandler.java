package io.samphiregauge.daemon.traffic;

import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.samphiregauge.net.RequestError;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Optional;

/** One caller's connection, whose requests arrive whole and one at a time. */
final class CallerHandler extends ChannelDuplexHandler {
  private static final Logger LOG = System.getLogger(CallerHandler.class.getName());

  private final Routes routes;
  private final Shared shared;
  private Optional<Exchange> exchange = Optional.empty();
  private long startedNanos;
  private boolean answering;

  CallerHandler(Routes routes, Shared shared) {
    this.routes = routes;
    this.shared = shared;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    startedNanos = System.nanoTime();
    answering = true;
    exchange = Optional.empty();
    shared.metrics().countRequest();
    try {
      if (message instanceof FullHttpRequest request) {
        exchange = routes.handle(ctx, request);
        exchange.ifPresent(Exchange::start);
      } else if (message instanceof RequestError fault) {
        CallerAnswers.refuse(
            ctx, EntryFailure.notRun(fault.status(), fault.type(), fault.message()));
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  @Override
  public void write(ChannelHandlerContext ctx, Object part, ChannelPromise promise) {
    if (part instanceof HttpResponse head
        && head.status().codeClass() != HttpStatusClass.INFORMATIONAL) {
      shared.metrics().answerBegan(head.status().code(), startedNanos);
      if (shared.drain().isDraining()) {
        HttpUtil.setKeepAlive(head, false);
      }
    }
    if (part instanceof LastHttpContent) {
      answering = false;
      exchange = Optional.empty();
      shared.metrics().answerEnded(startedNanos);
    }
    ctx.write(part, promise);
  }

  @Override
  public void flush(ChannelHandlerContext ctx) {
    ctx.flush();
    Channel channel = ctx.channel();
    if (!channel.isWritable() && exchange.isPresent()) {
      pause(channel);
    }
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
      LOG.log(Level.ERROR, "event=caller_failed answering=" + answering, cause);
    }
    ctx.close();
  }

  private void pause(Channel channel) {
    shared.metrics().countPause();
    shared.metrics().pending(channel.unsafe().outboundBuffer().totalPendingWriteBytes());
  }
}
