package io.samphiregauge.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.timeout.IdleStateHandler;
import io.samphiregauge.core.result.Result;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Pools connections to backend servers on one event loop, so that a request and its response are
 * handled on the same thread.
 *
 * <pre>{@code
 * pool.acquire(address, true, connection -> connection.map(open -> send(open)));
 * }</pre>
 */
public final class HttpConnectionPool {
  private static final int MAX_LINE_BYTES = 4 * 1024;
  private static final int MAX_HEADER_BYTES = 64 * 1024;
  private static final int MAX_CHUNK_BYTES = 64 * 1024;
  private static final int DEFAULT_CONNECT_TIMEOUT_MS = 1_000;
  private static final int READ_IDLE_TIMEOUT_MS = 60_000;
  private static final int MAX_IDLE_PER_ADDRESS = 256;

  private final EventLoop loop;
  private final int connectTimeoutMs;
  private final CloseMode closeMode;
  private final Map<Address, Deque<HttpConnection>> idle = new HashMap<>();

  /**
   * Creates an empty pool.
   *
   * @param loop event loop of the connections; all methods must be called on it
   */
  public HttpConnectionPool(EventLoop loop) {
    this(loop, DEFAULT_CONNECT_TIMEOUT_MS, CloseMode.GRACEFUL);
  }

  /**
   * Creates an empty pool.
   *
   * @param loop event loop of the connections; all methods must be called on it
   * @param connectTimeoutMs longest time to open a connection, in milliseconds
   * @param closeMode how the connections close
   */
  public HttpConnectionPool(EventLoop loop, int connectTimeoutMs, CloseMode closeMode) {
    this.loop = loop;
    this.connectTimeoutMs = connectTimeoutMs;
    this.closeMode = closeMode;
  }

  /**
   * Acquires an idle connection, or opens one.
   *
   * @param address address of the backend server
   * @param allowReuse whether an idle connection may be reused; false always opens a new one
   * @param callback receives the connection, or the reason why there is none; in that case nothing
   *     was sent
   */
  public void acquire(
      Address address, boolean allowReuse, Consumer<Result<HttpConnection>> callback) {
    Deque<HttpConnection> available = idle.computeIfAbsent(address, key -> new ArrayDeque<>());
    while (allowReuse && !available.isEmpty()) {
      HttpConnection connection = available.pop();
      if (connection.isOpen()) {
        callback.accept(Result.success(connection));
        return;
      }
      connection.close();
    }
    open(address, callback);
  }

  /** Closes all idle connections. */
  public void closeIdle() {
    List<Deque<HttpConnection>> queues = List.copyOf(idle.values());
    idle.clear();
    queues.forEach(available -> available.forEach(HttpConnection::close));
  }

  /**
   * Closes the idle connections to a server, after one of its connections timed out.
   *
   * @param address address of the server
   */
  public void closeIdle(Address address) {
    Optional.ofNullable(idle.remove(address))
        .ifPresent(available -> available.forEach(HttpConnection::close));
  }

  private void open(Address address, Consumer<Result<HttpConnection>> callback) {
    Bootstrap bootstrap = new Bootstrap();
    closeMode.configure(bootstrap);
    bootstrap
        .group(loop)
        .channelFactory(ProbedSocketChannel::new)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs)
        .option(ChannelOption.TCP_NODELAY, true)
        .handler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                channel
                    .pipeline()
                    .addLast(
                        new IdleStateHandler(READ_IDLE_TIMEOUT_MS, 0, 0, TimeUnit.MILLISECONDS))
                    .addLast(
                        new ResponseCodec(
                            new HttpDecoderConfig()
                                .setMaxInitialLineLength(MAX_LINE_BYTES)
                                .setMaxHeaderSize(MAX_HEADER_BYTES)
                                .setMaxChunkSize(MAX_CHUNK_BYTES)));
              }
            })
        .connect(address.toSocketAddress())
        .addListener(
            (ChannelFuture connected) -> callback.accept(toConnection(address, connected)));
  }

  private Result<HttpConnection> toConnection(Address address, ChannelFuture connected) {
    if (!connected.isSuccess()) {
      return Result.failed(
          new NetFailure.NotConnected(address.toString(), String.valueOf(connected.cause())));
    }
    ProbedSocketChannel channel = (ProbedSocketChannel) connected.channel();
    HttpConnection connection = new HttpConnection(address, channel, this::release, this::remove);
    channel.pipeline().addLast(connection.handler());
    return Result.success(connection);
  }

  private void release(HttpConnection connection) {
    Deque<HttpConnection> available =
        idle.computeIfAbsent(connection.address(), key -> new ArrayDeque<>());
    if (available.size() < MAX_IDLE_PER_ADDRESS) {
      available.push(connection);
    } else {
      connection.close();
    }
  }

  private void remove(HttpConnection connection) {
    Optional.ofNullable(idle.get(connection.address()))
        .ifPresent(available -> available.remove(connection));
  }
}
