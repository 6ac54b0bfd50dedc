package io.samphiregauge.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.AttributeKey;
import io.netty.util.concurrent.EventExecutor;
import io.samphiregauge.core.Clock;
import io.samphiregauge.core.result.Result;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;

/** Accepts HTTP connections and creates a separate handler for each of them. */
public final class HttpServer implements AutoCloseable {
  /** Event for the handler of a connection: responds to its pending request at once. */
  public static final Object RESPOND_NOW = new Object();

  /**
   * Attribute of a connection: the earliest time, by the clock of the server, at which its present
   * request can have arrived. Set only by a server started with {@link HttpLimits}.
   */
  public static final AttributeKey<Long> ARRIVED_AT_MS = AttributeKey.valueOf("arrivedAtMs");

  private static final int MAX_LINE_BYTES = 4 * 1024;
  private static final int MAX_CHUNK_BYTES = 16 * 1024;
  private static final int MAX_READS_PER_LOOP = 16;
  private static final int BACKLOG = 1024;

  private final Channel channel;
  private final ChannelGroup connections;

  private HttpServer(Channel channel, ChannelGroup connections) {
    this.channel = channel;
    this.connections = connections;
  }

  /**
   * Starts a server whose handlers receive each request in parts.
   *
   * @param loops event loops of the connections; the server does not shut them down
   * @param address address to bind; port 0 selects a free port
   * @param maxHeaderBytes largest request head, in bytes
   * @param handlers creates the handlers of a connection, which receive Netty's HTTP objects
   * @return the server, or the reason why the address could not be bound
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
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            // Accepts the whole backlog in one pass, so that closing the listener cuts off nobody.
            .option(
                ChannelOption.RCVBUF_ALLOCATOR,
                new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(BACKLOG))
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.RCVBUF_ALLOCATOR, createReadAllocator())
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

  /** Reads until nothing is left, so that the end of a connection is found with its last bytes. */
  private static RecvByteBufAllocator createReadAllocator() {
    return new AdaptiveRecvByteBufAllocator()
        .respectMaybeMoreData(false)
        .maxMessagesPerRead(MAX_READS_PER_LOOP);
  }

  /**
   * Starts a server whose handlers receive complete requests, one at a time.
   *
   * @param loops event loops of the connections; the server does not shut them down
   * @param address address to bind; port 0 selects a free port
   * @param currentLimits provides the size and time limits of the requests; read once for each
   *     connection
   * @param clock clock for the time limits
   * @param handler creates the handler of a connection, on its event loop; the handler receives
   *     each {@code FullHttpRequest} or {@link RequestError} and writes one response to it
   * @return the server, or the reason why the address could not be bound
   */
  public static Result<HttpServer> start(
      EventLoopGroup loops,
      Address address,
      Supplier<HttpLimits> currentLimits,
      Clock clock,
      Function<Channel, ChannelHandler> handler) {
    Map<EventLoop, EventLoopLag> lags = new ConcurrentHashMap<>();
    Map<EventLoop, BodyMemory> bodyMemories = new ConcurrentHashMap<>();
    long loopMemoryBytes = currentLimits.get().bodyMemoryBytes() / countLoops(loops);
    return bind(
        loops,
        address,
        pipeline ->
            addRequestHandlers(
                pipeline,
                currentLimits.get(),
                clock,
                lags.computeIfAbsent(
                    pipeline.channel().eventLoop(), loop -> EventLoopLag.start(loop, clock)),
                bodyMemories.computeIfAbsent(
                    pipeline.channel().eventLoop(), loop -> new BodyMemory(loopMemoryBytes)),
                handler.apply(pipeline.channel())));
  }

  private static long countLoops(EventLoopGroup loops) {
    long count = 0;
    for (EventExecutor loop : loops) {
      count += loop.isShutdown() ? 0 : 1;
    }
    return Math.max(1, count);
  }

  static void addRequestHandlers(
      ChannelPipeline pipeline,
      HttpLimits limits,
      Clock clock,
      EventLoopLag lag,
      BodyMemory bodyMemory,
      ChannelHandler handler) {
    RequestSequencer sequencer = new RequestSequencer(limits, clock);
    pipeline
        .addLast(sequencer.arrivalHandler())
        .addLast(strictCodec(limits))
        .addLast(sequencer)
        .addLast(new BodyMemoryGate(bodyMemory, limits.maxBodyBytes()))
        .addLast(new BodyLimit(limits.maxBodyBytes()))
        .addLast(new ArrivalRecorder(lag, clock))
        .addLast(new ClosedCallerFilter())
        .addLast(handler);
  }

  private static StrictServerCodec strictCodec(HttpLimits limits) {
    return new StrictServerCodec(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(limits.maxHeaderBytes())
            .setMaxHeaderSize(limits.maxHeaderBytes())
            .setMaxChunkSize(MAX_CHUNK_BYTES));
  }

  /**
   * Returns the address that the server is bound to.
   *
   * @return the address, with the actual port
   */
  public Address address() {
    return Address.of((InetSocketAddress) channel.localAddress());
  }

  /**
   * Stops accepting connections, and closes each open connection as soon as it has no pending
   * request. Applies only to a server started with {@link HttpLimits}.
   *
   * @return a future that completes when all connections are closed
   */
  public CompletableFuture<Void> closeGracefully() {
    CompletableFuture<Void> finished = new CompletableFuture<>();
    channel.close().addListener(closed -> closeConnections(finished));
    return finished;
  }

  private void closeConnections(CompletableFuture<Void> finished) {
    notifyConnections(RequestSequencer.CLOSE_WHEN_IDLE);
    connections.newCloseFuture().addListener(closed -> finished.complete(null));
  }

  /** Sends {@link #RESPOND_NOW} to the handler of each open connection. */
  public void endPendingRequests() {
    notifyConnections(RESPOND_NOW);
  }

  private void notifyConnections(Object event) {
    connections.forEach(connection -> connection.pipeline().fireUserEventTriggered(event));
  }

  /** Stops accepting connections; open connections stay open. */
  @Override
  public void close() {
    channel.close().awaitUninterruptibly();
  }
}
