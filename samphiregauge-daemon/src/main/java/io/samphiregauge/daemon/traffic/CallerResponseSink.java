package io.samphiregauge.daemon.traffic;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;

/** Passes an answer on to the caller's connection. */
final class CallerResponseSink {
  private CallerResponseSink() {}

  static ResponseSink create(ChannelHandlerContext ctx) {
    Channel channel = ctx.channel();
    return new ResponseSink(
        channel::write,
        channel::flush,
        failure -> ResponseWriter.writeError(ctx, failure),
        // The missing end of the answer tells the caller that it is not whole.
        () -> channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(w -> channel.close()));
  }
}
