package io.samphiregauge.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
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
 * Connections to backend servers that belong to one event loop, so that a request and its answer
 * never change threads.
 *
 * <pre>{@code
 * pool.connect(address, true, connection -> connection.map(open -> send(open)));
 * }</pre>
 */
public final class HttpPool {
  private static final int MAX_LINE_BYTES = 4 * 1024;
  private static final int MAX_HEADER_BYTES = 64 * 1024;
  private static final int MAX_CHUNK_BYTES = 64 * 1024;
  private static final int DEFAULT_CONNECT_TIMEOUT_MS = 1_000;
  private static final int SILENCE_TIMEOUT_MS = 60_000;
  private static final int MAX_IDLE_PER_ADDRESS = 256;

  private final EventLoop loop;
  private final int connectTimeoutMs;
  private final Map<Address, Deque<HttpConnection>> idle = new HashMap<>();

  /**
   * Makes an empty pool.
   *
   * @param loop event loop that carries the connections and makes all calls
   */
  public HttpPool(EventLoop loop) {
    this(loop, DEFAULT_CONNECT_TIMEOUT_MS);
  }

  /**
   * Makes an empty pool.
   *
   * @param loop event loop that carries the connections and makes all calls
   * @param connectTimeoutMs longest time to open a connection, in milliseconds
   */
  public HttpPool(EventLoop loop, int connectTimeoutMs) {
    this.loop = loop;
    this.connectTimeoutMs = connectTimeoutMs;
  }

  /**
   * Hands out a connection that carries no request.
   *
   * @param address address of the backend server
   * @param mayReuse whether a connection that was used before will do
   * @param taker takes the connection, or why there is none; nothing was sent then
   */
  public void connect(Address address, boolean mayReuse, Consumer<Result<HttpConnection>> taker) {
    Deque<HttpConnection> free = idle.computeIfAbsent(address, key -> new ArrayDeque<>());
    while (mayReuse && !free.isEmpty()) {
      HttpConnection connection = free.pop();
      if (connection.isOpen()) {
        taker.accept(Result.success(connection));
        return;
      }
      connection.close();
    }
    open(address, taker);
  }

  /** Closes the connections that carry no request. */
  public void closeIdle() {
    List<Deque<HttpConnection>> all = List.copyOf(idle.values());
    idle.clear();
    all.forEach(free -> free.forEach(HttpConnection::close));
  }

  /**
   * Closes the connections to a server that carry no request, after one of them fell silent.
   *
   * @param address address of the server
   */
  public void closeIdle(Address address) {
    Optional.ofNullable(idle.remove(address))
        .ifPresent(free -> free.forEach(HttpConnection::close));
  }

  private void open(Address address, Consumer<Result<HttpConnection>> taker) {
    new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs)
        .option(ChannelOption.TCP_NODELAY, true)
        .handler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                channel
                    .pipeline()
                    .addLast(new IdleStateHandler(SILENCE_TIMEOUT_MS, 0, 0, TimeUnit.MILLISECONDS))
                    .addLast(
                        new HttpClientCodec(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES));
              }
            })
        .connect(address.toSocketAddress())
        .addListener((ChannelFuture connected) -> taker.accept(opened(address, connected)));
  }

  private Result<HttpConnection> opened(Address address, ChannelFuture connected) {
    if (!connected.isSuccess()) {
      return Result.failed(
          new NetFailure.NotConnected(address.toString(), String.valueOf(connected.cause())));
    }
    Channel channel = connected.channel();
    HttpConnection connection = new HttpConnection(address, channel, this::release, this::forget);
    channel.pipeline().addLast(connection.handler());
    return Result.success(connection);
  }

  private void release(HttpConnection connection) {
    Deque<HttpConnection> free =
        idle.computeIfAbsent(connection.address(), key -> new ArrayDeque<>());
    if (free.size() < MAX_IDLE_PER_ADDRESS) {
      free.push(connection);
    } else {
      connection.close();
    }
  }

  private void forget(HttpConnection connection) {
    Optional.ofNullable(idle.get(connection.address())).ifPresent(free -> free.remove(connection));
  }
}
