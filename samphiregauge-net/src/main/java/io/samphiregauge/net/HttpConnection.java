package io.samphiregauge.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
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
 * after a whole answer that leaves the connection open. All calls come from its event loop.
 */
public final class HttpConnection {
  private final Address address;
  private final Channel channel;
  private final Consumer<HttpConnection> returnToPool;
  private final Consumer<HttpConnection> onClosed;
  private Optional<ResponseListener> listener = Optional.empty();
  private boolean reusable;
  private boolean informational;
  private boolean skipping;
  private boolean sending;
  private boolean used;
  private Duration keepAlive = KeepAliveTimeout.DEFAULT;
  private long idleUntilNanos;

  HttpConnection(
      Address address,
      Channel channel,
      Consumer<HttpConnection> returnToPool,
      Consumer<HttpConnection> onClosed) {
    this.address = address;
    this.channel = channel;
    this.returnToPool = returnToPool;
    this.onClosed = onClosed;
    this.idleUntilNanos = System.nanoTime() + keepAlive.toNanos();
  }

  /**
   * Sends a request. From this call on the request may run.
   *
   * @param request the request, released when it is written
   * @param responseListener takes the answer
   */
  public void send(FullHttpRequest request, ResponseListener responseListener) {
    listener = Optional.of(responseListener);
    reusable = HttpUtil.isKeepAlive(request);
    sending = true;
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
   * Starts or stops to read the answer, for back pressure.
   *
   * @param enabled whether to read
   */
  public void setReadEnabled(boolean enabled) {
    if (listener.isPresent()) {
      channel.config().setAutoRead(enabled);
    }
  }

  /** Gives up the answer and closes the connection; the sink takes nothing more. */
  public void abandon() {
    listener = Optional.empty();
    channel.close();
  }

  Address address() {
    return address;
  }

  /** Returns whether an earlier request was answered on the connection. */
  public boolean wasUsed() {
    return used;
  }

  /** Returns whether the connection is open and the server has not announced to close it by now. */
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
    Optional<ResponseListener> failed = listener;
    listener = Optional.empty();
    channel.close();
    failed.ifPresent(
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
      skipping = skipping && !(part instanceof LastHttpContent);
      ReferenceCountUtil.release(part);
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

  /** Notes whether the connection can be used again; an interim head is no answer. */
  private boolean handleHead(HttpResponse head) {
    if (head.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
      fail("switched protocols without being asked");
      return false;
    }
    informational = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    if (!informational && !listener.orElseThrow().accepts().test(head)) {
      // What else this server sends unasked cannot be foreseen; the connection ends with the
      // answer.
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
    // A server may answer before it has the whole request, and would take the next one for its
    // rest.
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
        // Bytes that no request asked for: what follows cannot be told apart from an answer.
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
        fail("silent for too long");
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      fail(String.valueOf(cause));
    }
  }
}
