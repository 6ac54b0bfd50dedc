package io.samphiregauge.net;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.util.ReferenceCountUtil;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * A connection to a backend server that carries one request at a time. It returns to its pool only
 * after a complete response that keeps the connection open. All methods must be called on its event
 * loop.
 */
public final class HttpConnection {
  /** Maximum interim (1xx) heads before a response; a server may otherwise send them forever. */
  private static final int MAX_INTERIM_HEADS = 16;

  /** Maximum size of a response to another request that is skipped, in bytes. */
  private static final int MAX_SKIPPED_BYTES = 256 * 1024;

  private final Address address;
  private final ProbedSocketChannel channel;
  private final Consumer<HttpConnection> returnToPool;
  private final Consumer<HttpConnection> onClosed;
  private Optional<ResponseListener> listener = Optional.empty();
  private boolean reusable;
  private boolean informational;
  private boolean skipping;
  private int interimHeads;
  private long skippedBytes;
  private boolean sending;
  private boolean used;
  private Duration keepAlive = KeepAliveTimeout.DEFAULT;
  private long idleUntilNanos;

  HttpConnection(
      Address address,
      ProbedSocketChannel channel,
      Consumer<HttpConnection> returnToPool,
      Consumer<HttpConnection> onClosed) {
    this.address = address;
    this.channel = channel;
    this.returnToPool = returnToPool;
    this.onClosed = onClosed;
    this.idleUntilNanos = System.nanoTime() + keepAlive.toNanos();
  }

  /**
   * Sends a request. From this call on, the server may process it.
   *
   * @param request the request, released after it is written
   * @param responseListener receives the response
   */
  public void send(FullHttpRequest request, ResponseListener responseListener) {
    listener = Optional.of(responseListener);
    reusable = HttpUtil.isKeepAlive(request);
    sending = true;
    interimHeads = 0;
    skippedBytes = 0;
    channel.config().setAutoRead(true);
    channel
        .writeAndFlush(request)
        .addListener(
            written -> {
              sending = false;
              if (!written.isSuccess()) {
                fail(String.valueOf(written.cause()));
              }
            });
  }

  /**
   * Resumes or pauses reading the response, for back pressure.
   *
   * @param enabled whether to read from the socket
   */
  public void setReadEnabled(boolean enabled) {
    if (listener.isPresent()) {
      channel.config().setAutoRead(enabled);
    }
  }

  /** Abandons the request and closes the connection; the listener is not called again. */
  public void abandon() {
    listener = Optional.empty();
    channel.close();
  }

  /** Returns the connection to its pool without a request having been sent on it. */
  public void release() {
    if (channel.isActive()) {
      returnToPool.accept(this);
    }
  }

  Address address() {
    return address;
  }

  EventLoop eventLoop() {
    return channel.eventLoop();
  }

  /** Returns whether the connection has already carried a complete response. */
  public boolean wasUsed() {
    return used;
  }

  /**
   * Returns whether the server has sent bytes, or closed the connection, since its last complete
   * response. Such bytes belong to no request, so none may be sent on the connection then. Some of
   * them are lost, so that only {@link #abandon} may follow.
   */
  public boolean hasUnreadInput() {
    return !channel.isActive()
        || !channel.pipeline().get(ResponseCodec.class).isBetweenResponses()
        || channel.hasUnreadInput();
  }

  /** Returns whether the connection is open and the server's keep-alive timeout has not passed. */
  boolean isOpen() {
    return channel.isActive() && System.nanoTime() - idleUntilNanos < 0;
  }

  void close() {
    channel.close();
  }

  ChannelInboundHandlerAdapter handler() {
    return new Handler();
  }

  private void fail(String reason) {
    Optional<ResponseListener> failedListener = listener;
    listener = Optional.empty();
    channel.close();
    failedListener.ifPresent(
        responseListener ->
            responseListener
                .onFailure()
                .accept(new NetFailure.NoAnswer(address.toString(), reason)));
  }

  private void handlePart(HttpObject part) {
    if (part.decoderResult().isFailure()) {
      ReferenceCountUtil.release(part);
      fail(String.valueOf(part.decoderResult().cause()));
      return;
    }
    if (part instanceof HttpResponse head && !handleHead(head)) {
      ReferenceCountUtil.release(part);
      return;
    }
    if (informational || skipping) {
      skip(part);
      return;
    }
    ResponseListener responseListener = listener.orElseThrow();
    boolean last = part instanceof LastHttpContent;
    if (last) {
      listener = Optional.empty();
      completeResponse();
    }
    responseListener.onPart().accept(part);
    if (last) {
      responseListener.onBatchEnd().run();
    }
  }

  /** Discards a part of a response that is not the expected one, up to a limit. */
  private void skip(HttpObject part) {
    if (part instanceof HttpContent content) {
      skippedBytes += content.content().readableBytes();
    }
    skipping = skipping && !(part instanceof LastHttpContent);
    ReferenceCountUtil.release(part);
    if (skippedBytes > MAX_SKIPPED_BYTES) {
      fail("more than " + MAX_SKIPPED_BYTES + " bytes that belong to no request");
    }
  }

  /**
   * Records whether the connection can be reused. Interim (1xx) heads are not part of the response.
   *
   * @return whether to process the head further; false if it failed the request
   */
  private boolean handleHead(HttpResponse head) {
    if (head.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
      fail("unrequested protocol switch (status 101)");
      return false;
    }
    informational = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    if (informational && ++interimHeads > MAX_INTERIM_HEADS) {
      fail("more than " + MAX_INTERIM_HEADS + " interim heads");
      return false;
    }
    if (!informational && !listener.orElseThrow().accepts().test(head)) {
      // A server that sends an unrequested response may send more of them, so the connection is
      // closed after the actual response.
      skipping = true;
      reusable = false;
      return true;
    }
    reusable = reusable && HttpUtil.isKeepAlive(head);
    keepAlive = KeepAliveTimeout.of(head);
    return true;
  }

  private void completeResponse() {
    used = true;
    idleUntilNanos = System.nanoTime() + keepAlive.toNanos();
    // If the server responded before the whole request was written, it would read the next request
    // as the rest of this one.
    if (reusable && !sending && channel.isActive()) {
      channel.config().setAutoRead(true);
      returnToPool.accept(this);
    } else {
      channel.close();
    }
  }

  private final class Handler extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object part) {
      if (listener.isEmpty()) {
        // Unsolicited data: the next response could not be told apart from it.
        boolean endsInterimResponse = informational && part instanceof LastHttpContent;
        ReferenceCountUtil.release(part);
        if (!endsInterimResponse) {
          ctx.close();
        }
        return;
      }
      handlePart((HttpObject) part);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
      listener.ifPresent(responseListener -> responseListener.onBatchEnd().run());
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      onClosed.accept(HttpConnection.this);
      fail("connection closed");
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
      boolean paused = listener.isPresent() && !ctx.channel().config().isAutoRead();
      if (event instanceof IdleStateEvent && !paused) {
        fail("no data received within the read timeout");
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      fail(String.valueOf(cause));
    }
  }
}
