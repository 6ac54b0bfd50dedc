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
  private final Consumer<HttpConnection> release;
  private final Consumer<HttpConnection> closed;
  private Optional<AnswerSink> sink = Optional.empty();
  private boolean reusable;
  private boolean informational;
  private boolean foreign;
  private boolean sending;
  private boolean used;
  private Duration keepAlive = KeepAliveTime.DEFAULT;
  private long idleUntilNanos;

  HttpConnection(
      Address address,
      Channel channel,
      Consumer<HttpConnection> release,
      Consumer<HttpConnection> closed) {
    this.address = address;
    this.channel = channel;
    this.release = release;
    this.closed = closed;
    this.idleUntilNanos = System.nanoTime() + keepAlive.toNanos();
  }

  /**
   * Sends a request. From this call on the request may run.
   *
   * @param request the request, released when it is written
   * @param answer takes the answer
   */
  public void send(FullHttpRequest request, AnswerSink answer) {
    sink = Optional.of(answer);
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
   * @param on whether to read
   */
  public void setReading(boolean on) {
    if (sink.isPresent()) {
      channel.config().setAutoRead(on);
    }
  }

  /** Gives up the answer and closes the connection; the sink takes nothing more. */
  public void abandon() {
    sink = Optional.empty();
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
    Optional<AnswerSink> taker = sink;
    sink = Optional.empty();
    channel.close();
    taker.ifPresent(
        answer -> answer.failed().accept(new NetFailure.NoAnswer(address.toString(), reason)));
  }

  private void take(HttpObject part) {
    if (part.decoderResult().isFailure()) {
      ReferenceCountUtil.release(part);
      fail(String.valueOf(part.decoderResult().cause()));
      return;
    }
    if (part instanceof HttpResponse head && !takeHead(head)) {
      ReferenceCountUtil.release(part);
      return;
    }
    if (informational || foreign) {
      foreign = foreign && !(part instanceof LastHttpContent);
      ReferenceCountUtil.release(part);
      return;
    }
    AnswerSink taker = sink.orElseThrow();
    boolean last = part instanceof LastHttpContent;
    if (last) {
      sink = Optional.empty();
      finish();
    }
    taker.part().accept(part);
    if (last) {
      taker.batchEnd().run();
    }
  }

  /** Notes whether the connection can be used again; an interim head is no answer. */
  private boolean takeHead(HttpResponse head) {
    if (head.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
      fail("switched protocols without being asked");
      return false;
    }
    informational = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    if (!informational && !sink.orElseThrow().own().test(head)) {
      // What else this server sends unasked cannot be foreseen; the connection ends with the
      // answer.
      foreign = true;
      reusable = false;
      return true;
    }
    reusable = reusable && HttpUtil.isKeepAlive(head);
    keepAlive = KeepAliveTime.of(head);
    return true;
  }

  private void finish() {
    used = true;
    idleUntilNanos = System.nanoTime() + keepAlive.toNanos();
    // A server may answer before it has the whole request, and would take the next one for its
    // rest.
    if (reusable && !sending && channel.isActive()) {
      channel.config().setAutoRead(true);
      release.accept(this);
    } else {
      channel.close();
    }
  }

  private final class Handler extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object part) {
      if (sink.isEmpty()) {
        // Bytes that no request asked for: what follows cannot be told apart from an answer.
        boolean interimEnd = informational && part instanceof LastHttpContent;
        ReferenceCountUtil.release(part);
        if (!interimEnd) {
          ctx.close();
        }
        return;
      }
      take((HttpObject) part);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
      sink.ifPresent(answer -> answer.batchEnd().run());
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      closed.accept(HttpConnection.this);
      fail("connection closed");
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
      boolean paused = sink.isPresent() && !ctx.channel().config().isAutoRead();
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
