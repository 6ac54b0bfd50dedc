package io.samphiregauge.net;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.util.ReferenceCountUtil;

/**
 * Drops requests whose callers have already closed their connections. After a stall, such as a slow
 * start, a request and the end of its connection are read together.
 */
final class ClosedCallerFilter extends ChannelInboundHandlerAdapter {
  /** Passes a request on after the read loop, which also detects the end of the connection. */
  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (!(message instanceof FullHttpRequest)) {
      ctx.fireChannelRead(message);
      return;
    }
    ctx.executor()
        .execute(
            () -> {
              if (ctx.channel().isActive()) {
                ctx.fireChannelRead(message);
              } else {
                ReferenceCountUtil.release(message);
              }
            });
  }
}
