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

/** Handles one caller's connection; requests arrive complete and one at a time. */
final class CallerHandler extends ChannelDuplexHandler {
  private static final Logger LOG = System.getLogger(CallerHandler.class.getName());

  private final RequestDispatcher dispatcher;
  private final SharedTrafficState shared;
  private Optional<CallExecution> execution = Optional.empty();
  private long startedNanos;
  private boolean responding;

  CallerHandler(RequestDispatcher dispatcher, SharedTrafficState shared) {
    this.dispatcher = dispatcher;
    this.shared = shared;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    startedNanos = System.nanoTime();
    responding = true;
    execution = Optional.empty();
    shared.metrics().countRequest();
    try {
      if (message instanceof FullHttpRequest request) {
        execution = dispatcher.handle(ctx, request);
        execution.ifPresent(CallExecution::start);
      } else if (message instanceof RequestError error) {
        ResponseWriter.writeError(
            ctx, EntryFailure.notRun(error.status(), error.type(), error.message()));
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  @Override
  public void write(ChannelHandlerContext ctx, Object part, ChannelPromise promise) {
    if (part instanceof HttpResponse head
        && head.status().codeClass() != HttpStatusClass.INFORMATIONAL) {
      shared.metrics().recordResponseStart(head.status().code(), startedNanos);
      if (shared.drainState().isDraining()) {
        HttpUtil.setKeepAlive(head, false);
      }
    }
    if (part instanceof LastHttpContent) {
      responding = false;
      execution = Optional.empty();
      shared.metrics().recordResponseEnd(startedNanos);
    }
    ctx.write(part, promise);
  }

  @Override
  public void flush(ChannelHandlerContext ctx) {
    ctx.flush();
    Channel channel = ctx.channel();
    if (!channel.isWritable() && execution.isPresent()) {
      recordPause(channel);
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    boolean writable = ctx.channel().isWritable();
    execution.ifPresent(current -> current.setReadEnabled(writable));
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    Optional<CallExecution> current = execution;
    execution = Optional.empty();
    current.ifPresent(CallExecution::cancel);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    // A caller may reset its connection, or close it in the middle of a body.
    if (!(cause instanceof IOException) && !(cause instanceof CodecException)) {
      LOG.log(Level.ERROR, "event=caller_failed answering=" + responding, cause);
    }
    ctx.close();
  }

  private void recordPause(Channel channel) {
    shared.metrics().countPause();
    shared.metrics().recordPendingBytes(channel.unsafe().outboundBuffer().totalPendingWriteBytes());
  }
}
