package io.samphiregauge.daemon.traffic;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;

/** Creates sinks that write a response to the caller's connection. */
final class CallerResponseSink {
  private CallerResponseSink() {}

  static ResponseSink create(ChannelHandlerContext ctx) {
    Channel channel = ctx.channel();
    return new ResponseSink(
        channel::write,
        channel::flush,
        failure -> ResponseWriter.writeError(ctx, failure),
        // Closes without the last chunk, by which the caller detects an incomplete response.
        () -> channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(future -> channel.close()));
  }
}
