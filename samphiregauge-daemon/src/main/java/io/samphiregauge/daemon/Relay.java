package io.samphiregauge.daemon;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AttributeKey;
import io.samphiregauge.net.Address;
import io.samphiregauge.schema.config.Backend;
import java.util.Optional;

/** Passes the answer of a backend server on to the caller, at the caller's pace. */
final class Relay extends ChannelInboundHandlerAdapter {
  private static final AttributeKey<Channel> BACKEND = AttributeKey.valueOf("backend");

  private final Channel caller;

  private Relay(Channel caller) {
    this.caller = caller;
  }

  /** Sends a request to a backend server; the caller's key is not among the headers. */
  static void start(Channel caller, Backend backend, String path, byte[] body) {
    Address address = Address.parse(backend.getAddress()).value().orElseThrow();
    Bootstrap bootstrap =
        new Bootstrap()
            .group(caller.eventLoop())
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    channel.pipeline().addLast(new HttpClientCodec()).addLast(new Relay(caller));
                  }
                });
    bootstrap
        .connect(address.toSocketAddress())
        .addListener((ChannelFuture connected) -> send(connected, caller, address, path, body));
  }

  /** Reads on from the backend server once the caller has taken what was written to it. */
  static void resumeReading(Channel caller) {
    Optional<Channel> backend = Optional.ofNullable(caller.attr(BACKEND).get());
    backend.ifPresent(channel -> channel.config().setAutoRead(caller.isWritable()));
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object part) {
    caller.writeAndFlush(part);
    if (!caller.isWritable()) {
      ctx.channel().config().setAutoRead(false);
    }
    if (part instanceof LastHttpContent) {
      caller.attr(BACKEND).set(null);
      ctx.close();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    if (ctx.channel().equals(caller.attr(BACKEND).get())) {
      caller.close();
    }
  }

  private static void send(
      ChannelFuture connected, Channel caller, Address address, String path, byte[] body) {
    if (!connected.isSuccess()) {
      EntryHandler.refuse(
          caller.pipeline().lastContext(),
          EntryFailure.notRun(502, "not_connected", "The backend server cannot be reached."));
      return;
    }
    Channel backend = connected.channel();
    caller.attr(BACKEND).set(backend);
    var request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, HttpMethod.POST, path, Unpooled.wrappedBuffer(body));
    request
        .headers()
        .set(HttpHeaderNames.HOST, address.toString())
        .set(HttpHeaderNames.CONTENT_TYPE, "application/json")
        .set(HttpHeaderNames.CONTENT_LENGTH, body.length);
    backend.writeAndFlush(request);
  }
}
