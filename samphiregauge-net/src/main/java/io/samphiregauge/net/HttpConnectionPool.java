package io.samphiregauge.net;

import io.netty.channel.EventLoop;
import io.samphiregauge.core.result.Result;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
  private static final int DEFAULT_CONNECT_TIMEOUT_MS = 1_000;
  private static final int READ_IDLE_TIMEOUT_MS = 60_000;
  private static final int MAX_IDLE_PER_ADDRESS = 256;

  private final HttpConnector connector;
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
    this.connector = new HttpConnector(loop, connectTimeoutMs, READ_IDLE_TIMEOUT_MS, closeMode);
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
    connector.connect(address, this::release, this::remove, callback);
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
