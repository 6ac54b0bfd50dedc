package io.samphiregauge.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import io.samphiregauge.core.Clock;
import io.samphiregauge.core.result.Result;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;

/** Accepts HTTP connections and gives each one a handler of its own. */
public final class HttpServer implements AutoCloseable {
  private static final int MAX_LINE_BYTES = 4 * 1024;
  private static final int MAX_CHUNK_BYTES = 16 * 1024;

  private final Channel channel;
  private final ChannelGroup connections;

  private HttpServer(Channel channel, ChannelGroup connections) {
    this.channel = channel;
    this.connections = connections;
  }

  /**
   * Starts to accept connections.
   *
   * @param loops event loops that carry the connections; they stay the caller's
   * @param address address to bind, with port 0 for a free one
   * @param maxHeaderBytes largest request head
   * @param handlers makes the handlers of a connection, which see Netty's HTTP objects
   * @return the server, or why the address could not be bound
   */
  public static Result<HttpServer> start(
      EventLoopGroup loops,
      Address address,
      int maxHeaderBytes,
      Supplier<ChannelHandler[]> handlers) {
    return bind(
        loops,
        address,
        pipeline ->
            pipeline
                .addLast(new HttpServerCodec(MAX_LINE_BYTES, maxHeaderBytes, MAX_CHUNK_BYTES))
                .addLast(handlers.get()));
  }

  private static Result<HttpServer> bind(
      EventLoopGroup loops, Address address, Consumer<ChannelPipeline> handlers) {
    ChannelGroup connections = new DefaultChannelGroup(loops.next(), true);
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(loops)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, 1024)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel child) {
                    connections.add(child);
                    handlers.accept(child.pipeline());
                  }
                });
    var bound = bootstrap.bind(address.toSocketAddress()).awaitUninterruptibly();
    if (bound.isSuccess()) {
      return Result.success(new HttpServer(bound.channel(), connections));
    }
    return Result.failed(
        new NetFailure.NotConnected(address.toString(), String.valueOf(bound.cause())));
  }

  /**
   * Starts to accept connections whose requests arrive whole, one at a time.
   *
   * @param loops event loops that carry the connections; they stay the caller's
   * @param address address to bind, with port 0 for a free one
   * @param limits limits of a request
   * @param clock clock that the limits of time are counted on
   * @param handler makes the handler of a connection, on its event loop; it sees a {@code
   *     FullHttpRequest} or a {@link RequestError} and writes one answer to each
   * @return the server, or why the address could not be bound
   */
  public static Result<HttpServer> start(
      EventLoopGroup loops,
      Address address,
      HttpLimits limits,
      Clock clock,
      Function<Channel, ChannelHandler> handler) {
    return bind(
        loops,
        address,
        pipeline -> addRequestHandlers(pipeline, limits, clock, handler.apply(pipeline.channel())));
  }

  static void addRequestHandlers(
      ChannelPipeline pipeline, HttpLimits limits, Clock clock, ChannelHandler handler) {
    RequestSequencer sequencer = new RequestSequencer(limits, clock);
    pipeline
        .addLast(sequencer.arrivalHandler())
        .addLast(strictCodec(limits))
        .addLast(sequencer)
        .addLast(new BodyLimit(limits.maxBodyBytes()))
        .addLast(handler);
  }

  private static StrictServerCodec strictCodec(HttpLimits limits) {
    return new StrictServerCodec(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(MAX_LINE_BYTES)
            .setMaxHeaderSize(limits.maxHeaderBytes())
            .setMaxChunkSize(MAX_CHUNK_BYTES));
  }

  /**
   * Returns the address that the server is bound to.
   *
   * @return the address, with the port that was taken
   */
  public Address address() {
    return Address.of((InetSocketAddress) channel.localAddress());
  }

  /**
   * Stops to accept connections, and closes each open one as soon as no request is on it; only for
   * a server whose requests arrive whole.
   *
   * @return completes when no connection is open
   */
  public CompletableFuture<Void> closeGracefully() {
    CompletableFuture<Void> finished = new CompletableFuture<>();
    channel.close().addListener(closed -> closeConnections(finished));
    return finished;
  }

  private void closeConnections(CompletableFuture<Void> finished) {
    connections.forEach(
        connection ->
            connection.pipeline().fireUserEventTriggered(RequestSequencer.CLOSE_WHEN_IDLE));
    connections.newCloseFuture().addListener(closed -> finished.complete(null));
  }

  /** Stops to accept connections; open ones go on. */
  @Override
  public void close() {
    channel.close().awaitUninterruptibly();
  }
}
