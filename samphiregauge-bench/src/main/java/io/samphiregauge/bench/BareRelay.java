package io.samphiregauge.bench;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.samphiregauge.net.Address;
import io.samphiregauge.net.HttpServer;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;

/**
 * A minimal HTTP relay on Netty's codec, used as the baseline for the entry. It opens one
 * connection to the backend server for each caller's connection and forwards decoded parts in both
 * directions. It has no keys, limits, routing, retries or back pressure.
 */
final class BareRelay {
  private static final int MAX_HEADER_BYTES = 16 * 1024;

  private BareRelay() {}

  static HttpServer start(EventLoopGroup loops, Address address, Address backend) {
    return HttpServer.start(
            loops,
            address,
            MAX_HEADER_BYTES,
            () -> new ChannelHandler[] {new CallerHandler(backend)})
        .value()
        .orElseThrow();
  }

  private static final class CallerHandler extends ChannelInboundHandlerAdapter {
    private final Address backendAddress;
    private final Queue<Object> pendingParts = new ArrayDeque<>();
    private Optional<Channel> backend = Optional.empty();

    CallerHandler(Address backendAddress) {
      this.backendAddress = backendAddress;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      new Bootstrap()
          .group(ctx.channel().eventLoop())
          .channel(NioSocketChannel.class)
          .option(ChannelOption.TCP_NODELAY, true)
          .handler(
              new ChannelInitializer<SocketChannel>() {
                @Override
                protected void initChannel(SocketChannel channel) {
                  channel
                      .pipeline()
                      .addLast(new HttpClientCodec(), new BackendHandler(ctx.channel()));
                }
              })
          .connect(backendAddress.toSocketAddress())
          .addListener((ChannelFuture future) -> onConnected(ctx, future));
    }

    private void onConnected(ChannelHandlerContext ctx, ChannelFuture future) {
      if (!future.isSuccess()) {
        ctx.close();
        return;
      }
      backend = Optional.of(future.channel());
      pendingParts.forEach(future.channel()::write);
      pendingParts.clear();
      future.channel().flush();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object part) {
      if (backend.isPresent()) {
        backend.get().write(part);
      } else {
        pendingParts.add(part);
      }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
      backend.ifPresent(Channel::flush);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      backend.ifPresent(Channel::close);
    }
  }

  private static final class BackendHandler extends ChannelInboundHandlerAdapter {
    private final Channel caller;

    BackendHandler(Channel caller) {
      this.caller = caller;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object part) {
      caller.write(part);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
      caller.flush();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      caller.close();
    }
  }
}
