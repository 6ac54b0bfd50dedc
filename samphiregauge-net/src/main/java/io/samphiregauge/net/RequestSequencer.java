package io.samphiregauge.net;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import io.samphiregauge.core.Clock;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Forwards one request at a time, so that responses are sent in the order of the requests, and
 * limits the time in which a caller must send a request.
 *
 * <p>Pipelined requests are queued, and reading stops, until the response before them is complete.
 * A {@link RequestError} is queued like a request, so its response never interrupts another one.
 */
final class RequestSequencer extends ChannelDuplexHandler {
  /** Event that closes the connection as soon as it has no pending request. */
  static final Object CLOSE_WHEN_IDLE = new Object();

  private static final long NO_DEADLINE = Long.MAX_VALUE;
  // Time for a caller that is still sending to read the error response; closing the socket with
  // unread input would reset the connection.
  private static final int LINGER_MS = 2_000;

  /**
   * Time for which an idle connection stays open after the start of a shutdown, because the caller
   * may already have sent its next request.
   */
  private static final int CLOSE_DELAY_MS = 250;

  private enum State {
    IDLE,
    HEAD,
    BODY,
    RESPONDING,
    LINGERING
  }

  private final HttpLimits limits;
  private final Clock clock;
  private final Deque<Object> queued = new ArrayDeque<>();
  private State state = State.HEAD;
  private boolean keepAlive = true;
  private boolean failed;
  private boolean closing;
  private boolean bytesReceived;
  private boolean http10;
  private boolean headRequest;
  private boolean bodyAllowed = true;
  private boolean endsWithConnection;
  private long deadlineMs = NO_DEADLINE;
  private Optional<ScheduledFuture<?>> timer = Optional.empty();

  RequestSequencer(HttpLimits limits, Clock clock) {
    this.limits = limits;
    this.clock = clock;
  }

  /** Returns a handler that detects the first bytes of a request before they are decoded. */
  ChannelInboundHandlerAdapter arrivalHandler() {
    return new ChannelInboundHandlerAdapter() {
      @Override
      public void channelRead(ChannelHandlerContext ctx, Object bytes) {
        bytesReceived = true;
        if (state == State.IDLE) {
          state = State.HEAD;
          setDeadline(ctx, limits.headTimeoutMs());
        }
        ctx.fireChannelRead(bytes);
      }
    };
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    setDeadline(ctx, limits.headTimeoutMs());
  }

  @Override
  public void handlerRemoved(ChannelHandlerContext ctx) {
    timer.ifPresent(running -> running.cancel(false));
    queued.forEach(ReferenceCountUtil::release);
    queued.clear();
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object part) {
    if (state == State.LINGERING || failed) {
      ReferenceCountUtil.release(part);
      return;
    }
    if (state == State.RESPONDING) {
      queued.add(part);
      ctx.channel().config().setAutoRead(false);
      return;
    }
    forward(ctx, part);
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
    if (event != CLOSE_WHEN_IDLE) {
      ctx.fireUserEventTriggered(event);
      return;
    }
    closing = true;
    if (state == State.IDLE || !bytesReceived) {
      ctx.executor().schedule(() -> closeIfIdle(ctx), CLOSE_DELAY_MS, TimeUnit.MILLISECONDS);
    }
  }

  private void closeIfIdle(ChannelHandlerContext ctx) {
    if (state == State.IDLE || !bytesReceived) {
      ctx.close();
    }
  }

  @Override
  public void write(ChannelHandlerContext ctx, Object part, ChannelPromise promise) {
    if (part instanceof HttpResponse head) {
      if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
        ctx.write(part, promise);
        return;
      }
      // The bytes of a body that was not awaited must not be taken for the next request.
      failed = failed || state == State.BODY;
      bodyAllowed = mayHaveBody(head);
      setFraming(head);
      setResetOnClose(ctx, true);
    }
    boolean last = part instanceof LastHttpContent;
    if (bodyAllowed) {
      ctx.write(part, promise);
    } else {
      writeWithoutBody(ctx, part, promise);
    }
    if (last) {
      finishResponse(ctx, promise);
    }
  }

  /** Drops the bytes of a body, which the caller would take for its next response. */
  private static void writeWithoutBody(
      ChannelHandlerContext ctx, Object part, ChannelPromise promise) {
    boolean last = part instanceof LastHttpContent;
    if (part instanceof HttpResponse head) {
      HttpResponse headOnly =
          new DefaultHttpResponse(head.protocolVersion(), head.status(), head.headers());
      ctx.write(headOnly, last ? ctx.newPromise() : promise);
    }
    ReferenceCountUtil.release(part);
    if (last) {
      ctx.write(LastHttpContent.EMPTY_LAST_CONTENT, promise);
    } else if (!(part instanceof HttpResponse)) {
      promise.setSuccess();
    }
  }

  /** Sets how the end of the response is marked, and whether the connection stays open. */
  private void setFraming(HttpResponse head) {
    boolean chunked = HttpUtil.isTransferEncodingChunked(head);
    boolean hasContentLength = head.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
    endsWithConnection = http10 && (chunked || !hasContentLength) && mayHaveBody(head);
    if (http10 && chunked) {
      HttpUtil.setTransferEncodingChunked(head, false);
      keepAlive = false;
    } else if (!chunked && !hasContentLength && mayHaveBody(head)) {
      HttpUtil.setTransferEncodingChunked(head, !http10);
      keepAlive = keepAlive && !http10;
    }
    keepAlive = keepAlive && !failed && !closing && HttpUtil.isKeepAlive(head);
    HttpUtil.setKeepAlive(head.headers(), HttpVersion.HTTP_1_1, keepAlive);
  }

  /**
   * Sets whether closing the connection resets it. The end of a connection marks the end of a
   * response that has neither a length nor chunks, so it must not end regularly within one, also if
   * the process is killed.
   */
  private void setResetOnClose(ChannelHandlerContext ctx, boolean reset) {
    if (endsWithConnection && ctx.channel().isActive()) {
      ctx.channel().config().setOption(ChannelOption.SO_LINGER, reset ? 0 : -1);
    }
  }

  private boolean mayHaveBody(HttpResponse head) {
    int status = head.status().code();
    return !headRequest && status != 204 && status != 304;
  }

  private void finishResponse(ChannelHandlerContext ctx, ChannelPromise promise) {
    if (!keepAlive || closing) {
      state = State.LINGERING;
      promise.addListener(
          written -> {
            setResetOnClose(ctx, !written.isSuccess());
            linger(ctx);
          });
      return;
    }
    state = State.IDLE;
    setDeadline(ctx, limits.idleTimeoutMs());
    if (queued.isEmpty()) {
      ctx.channel().config().setAutoRead(true);
    } else {
      ctx.executor().execute(() -> forwardQueued(ctx));
    }
  }

  /** Closes the connection; after an error, shuts down the output and first discards the input. */
  private void linger(ChannelHandlerContext ctx) {
    if (failed && ctx.channel() instanceof SocketChannel socket) {
      socket.shutdownOutput();
      socket.config().setAutoRead(true);
      setDeadline(ctx, LINGER_MS);
    } else {
      ctx.close();
    }
  }

  private void forwardQueued(ChannelHandlerContext ctx) {
    while (!queued.isEmpty() && state != State.RESPONDING && state != State.LINGERING) {
      forward(ctx, queued.remove());
    }
    if (queued.isEmpty() && state != State.RESPONDING) {
      ctx.channel().config().setAutoRead(true);
    }
  }

  private void forward(ChannelHandlerContext ctx, Object part) {
    if (part instanceof RequestError error) {
      forwardError(ctx, error);
      return;
    }
    if (part instanceof HttpObject object && object.decoderResult().isFailure()) {
      ReferenceCountUtil.release(part);
      forwardError(ctx, toRequestError(object.decoderResult().cause()));
      return;
    }
    if (part instanceof HttpRequest head) {
      state = State.BODY;
      keepAlive = HttpUtil.isKeepAlive(head);
      headRequest = head.method().equals(HttpMethod.HEAD);
      http10 = head.protocolVersion().compareTo(HttpVersion.HTTP_1_1) < 0;
      setDeadline(ctx, limits.bodyTimeoutMs());
    }
    if (part instanceof LastHttpContent) {
      state = State.RESPONDING;
      deadlineMs = NO_DEADLINE;
    }
    ctx.fireChannelRead(part);
  }

  private void forwardError(ChannelHandlerContext ctx, RequestError error) {
    failed = true;
    state = State.RESPONDING;
    deadlineMs = NO_DEADLINE;
    ctx.fireChannelRead(error);
  }

  private static RequestError toRequestError(Throwable cause) {
    String reason = String.valueOf(cause.getMessage());
    return cause instanceof TooLongFrameException
        ? new RequestError(431, "head_too_large", "The request head is too large: " + reason)
        : new RequestError(400, "malformed_request", "The request is not valid HTTP: " + reason);
  }

  /**
   * Sets the deadline. A running timer is not rescheduled; it checks the deadline when it fires.
   */
  private void setDeadline(ChannelHandlerContext ctx, int timeoutMs) {
    deadlineMs = clock.nowMs() + timeoutMs;
    if (timer.isEmpty()) {
      startTimer(ctx);
    }
  }

  private void startTimer(ChannelHandlerContext ctx) {
    long waitMs = deadlineMs - clock.nowMs();
    timer =
        Optional.of(
            ctx.executor().schedule(() -> checkDeadline(ctx), waitMs, TimeUnit.MILLISECONDS));
  }

  private void checkDeadline(ChannelHandlerContext ctx) {
    timer = Optional.empty();
    if (deadlineMs == NO_DEADLINE) {
      return;
    }
    if (clock.nowMs() < deadlineMs) {
      startTimer(ctx);
      return;
    }
    deadlineMs = NO_DEADLINE;
    handleTimeout(ctx);
  }

  private void handleTimeout(ChannelHandlerContext ctx) {
    if (state == State.HEAD) {
      forwardError(
          ctx,
          new RequestError(
              408,
              "head_timeout",
              "The request head was not complete after %d ms.".formatted(limits.headTimeoutMs())));
    } else if (state == State.BODY) {
      forwardError(
          ctx,
          new RequestError(
              408,
              "body_timeout",
              "The request body was not complete after %d ms.".formatted(limits.bodyTimeoutMs())));
    } else {
      ctx.close();
    }
  }
}
