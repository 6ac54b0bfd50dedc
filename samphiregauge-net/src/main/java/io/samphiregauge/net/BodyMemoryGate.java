package io.samphiregauge.net;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Reserves memory for the body of a request before the body is read, and holds it until the
 * response is written. While there is none, the connection is not read. One request at a time
 * passes, because the {@link RequestSequencer} precedes this handler.
 *
 * <p>A body with a known length is reserved as a whole, so that bodies do not block each other half
 * received; a chunked one is reserved as it arrives.
 */
final class BodyMemoryGate extends ChannelDuplexHandler {
  /** Callers abandon an attempt that is not read for a second. */
  static final int MAX_WAIT_MS = 1_000;

  private static final long RETRY_MS = 500;

  private final BodyMemory memory;
  private final int maxBodyBytes;
  private final Deque<Object> held = new ArrayDeque<>();
  private Optional<BodyMemory.Claim> claim = Optional.empty();
  private Optional<ScheduledFuture<?>> timer = Optional.empty();
  private long reservedBytes;
  private long receivedBytes;
  private boolean refused;
  private boolean tooLarge;

  /**
   * Creates the gate of one connection.
   *
   * @param memory memory that all connections of the event loop share
   * @param maxBodyBytes largest body; a larger one is passed on, to be refused without being stored
   */
  BodyMemoryGate(BodyMemory memory, int maxBodyBytes) {
    this.memory = memory;
    this.maxBodyBytes = maxBodyBytes;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object part) {
    if (part instanceof RequestError) {
      endWait();
      releaseHeld();
      ctx.fireChannelRead(part);
      return;
    }
    if (claim.isPresent() || !held.isEmpty()) {
      held.add(part);
      return;
    }
    pass(ctx, part);
  }

  private void pass(ChannelHandlerContext ctx, Object part) {
    if (part instanceof HttpRequest head) {
      release();
      refused = false;
      tooLarge = HttpUtil.getContentLength(head, 0L) > maxBodyBytes;
      receivedBytes = 0;
    }
    if (refused) {
      ReferenceCountUtil.release(part);
      return;
    }
    long missingBytes = missingBytes(part);
    if (missingBytes > 0 && !memory.tryReserve(missingBytes)) {
      await(ctx, part, missingBytes);
      return;
    }
    reservedBytes += Math.max(0, missingBytes);
    ctx.fireChannelRead(part);
  }

  /** Returns the bytes that must be reserved before a part is passed on. */
  private long missingBytes(Object part) {
    if (tooLarge) {
      return 0;
    }
    long neededBytes = 0;
    if (part instanceof HttpRequest head) {
      neededBytes = HttpUtil.getContentLength(head, 0L);
    }
    if (part instanceof HttpContent content) {
      receivedBytes += content.content().readableBytes();
      neededBytes = Math.min(maxBodyBytes, receivedBytes);
    }
    return neededBytes - reservedBytes;
  }

  private void await(ChannelHandlerContext ctx, Object part, long bytes) {
    held.add(part);
    ctx.channel().config().setAutoRead(false);
    claim = Optional.of(memory.await(bytes, () -> onGranted(ctx, bytes)));
    timer =
        Optional.of(ctx.executor().schedule(() -> refuse(ctx), MAX_WAIT_MS, TimeUnit.MILLISECONDS));
  }

  private void onGranted(ChannelHandlerContext ctx, long bytes) {
    endWait();
    reservedBytes += bytes;
    // Runs later, because the memory is granted while another connection is being handled.
    ctx.executor().execute(() -> resume(ctx));
  }

  private void resume(ChannelHandlerContext ctx) {
    if (held.isEmpty()) {
      return;
    }
    // The memory of the first part is reserved already.
    ctx.fireChannelRead(held.remove());
    drain(ctx);
  }

  private void drain(ChannelHandlerContext ctx) {
    while (!held.isEmpty() && claim.isEmpty()) {
      pass(ctx, held.remove());
    }
    if (claim.isEmpty()) {
      ctx.channel().config().setAutoRead(true);
    }
  }

  private void refuse(ChannelHandlerContext ctx) {
    endWait();
    refused = true;
    releaseHeld();
    release();
    ctx.fireChannelRead(
        new RequestError(
            503, "memory_full", "No memory is free for the body of the request.", RETRY_MS));
    ctx.channel().config().setAutoRead(true);
  }

  private void endWait() {
    claim.ifPresent(memory::cancel);
    claim = Optional.empty();
    timer.ifPresent(running -> running.cancel(false));
    timer = Optional.empty();
  }

  @Override
  public void write(ChannelHandlerContext ctx, Object part, ChannelPromise promise) {
    if (part instanceof HttpResponse head && refused) {
      // Parts of the body may have been passed on, which the next request must not follow.
      HttpUtil.setKeepAlive(head, false);
    }
    boolean interim =
        part instanceof HttpResponse head
            && head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    if (part instanceof LastHttpContent && !interim) {
      release();
    }
    ctx.write(part, promise);
  }

  @Override
  public void handlerRemoved(ChannelHandlerContext ctx) {
    endWait();
    releaseHeld();
    release();
  }

  private void releaseHeld() {
    held.forEach(ReferenceCountUtil::release);
    held.clear();
  }

  private void release() {
    long bytes = reservedBytes;
    reservedBytes = 0;
    if (bytes > 0) {
      memory.release(bytes);
    }
  }
}
