package io.samphiregauge.gateway.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.samphiregauge.core.directory.EntryCapacity;

/**
 * Measures how busy this entry is: the bytes that it exchanges with callers, its open connections
 * and the lag of its event loop. Confined to one event loop.
 */
final class EntryLoadMeter {
  private static final double BITS_PER_BYTE = 8;
  private static final double BITS_PER_MBIT = 1_000_000;
  private static final double MS_PER_S = 1_000;

  private long bytes;
  private int connections;
  private long maxLagMs;

  /**
   * What was measured since the previous call.
   *
   * @param bytes bytes in one direction of the link
   * @param lagMs longest delay of a periodic task, in milliseconds
   * @param busy used part of the link or of the descriptors, whichever is larger
   */
  record Sample(long bytes, long lagMs, double busy) {}

  /** Returns a handler that counts the traffic of a new connection; first in its pipeline. */
  ChannelDuplexHandler connectionHandler() {
    return new ChannelDuplexHandler() {
      @Override
      public void handlerAdded(ChannelHandlerContext ctx) {
        connections++;
        ctx.channel().closeFuture().addListener(closed -> connections--);
      }

      @Override
      public void channelRead(ChannelHandlerContext ctx, Object message) {
        count(message);
        ctx.fireChannelRead(message);
      }

      @Override
      public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
        count(message);
        ctx.write(message, promise);
      }
    };
  }

  /** Counts bytes once: what comes from a caller goes to a server, and the other way round. */
  private void count(Object message) {
    if (message instanceof ByteBuf part) {
      bytes += part.readableBytes();
    }
  }

  void recordLag(long lagMs) {
    maxLagMs = Math.max(maxLagMs, lagMs);
  }

  /** Returns what was measured in a period, and begins the next one. */
  Sample take(EntryCapacity capacity, long periodMs) {
    double mbps = bytes * BITS_PER_BYTE / BITS_PER_MBIT / (Math.max(1, periodMs) / MS_PER_S);
    // Each caller may hold a connection to a server too.
    double descriptors = 2.0 * connections / capacity.maxFds();
    Sample sample = new Sample(bytes, maxLagMs, Math.max(mbps / capacity.linkMbps(), descriptors));
    bytes = 0;
    maxLagMs = 0;
    return sample;
  }
}
