package io.samphiregauge.net;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.samphiregauge.core.Clock;

/**
 * Records for each request on a connection the earliest time at which it can have arrived, so that
 * its deadline includes the time in which it lay unread.
 */
final class ArrivalRecorder extends ChannelInboundHandlerAdapter {
  private final EventLoopLag lag;
  private final Clock clock;
  private long earliestOpenMs;
  private long runsAtOpen;

  ArrivalRecorder(EventLoopLag lag, Clock clock) {
    this.lag = lag;
    this.clock = clock;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    earliestOpenMs = clock.nowMs() - lag.unreadMs();
    runsAtOpen = lag.runs();
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (message instanceof FullHttpRequest) {
      ctx.channel().attr(HttpServer.ARRIVED_AT_MS).set(earliestArrivalMs());
    }
    ctx.fireChannelRead(message);
  }

  private long earliestArrivalMs() {
    // A connection is read for the first time in the pass after the one that accepts it, so its
    // request may have arrived before it was accepted.
    boolean readOnceBefore = lag.runs() - runsAtOpen > 1;
    return readOnceBefore ? clock.nowMs() - lag.unreadMs() : earliestOpenMs;
  }
}
