package io.samphiregauge.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.samphiregauge.core.result.Result;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Sends HTTP requests over pooled keep-alive connections, and buffers the whole response. */
public final class PooledHttpClient {
  private static final int CONNECT_TIMEOUT_MS = 1_000;

  /**
   * Maximum size of a response, in bytes. The largest page of the store is about 1.5 MB, and an
   * entry has 64 MB of heap memory.
   */
  private static final int MAX_RESPONSE_BYTES = 8 * 1024 * 1024;

  private final EventLoop loop;
  private final HttpConnectionPool pool;

  /**
   * Creates a client with its own connection pool, whose connections close gracefully.
   *
   * @param loop event loop of the connections; the client does not shut it down
   */
  public PooledHttpClient(EventLoop loop) {
    this(loop, CloseMode.GRACEFUL);
  }

  /**
   * Creates a client with its own connection pool.
   *
   * @param loop event loop of the connections; the client does not shut it down
   * @param closeMode how the connections close
   */
  public PooledHttpClient(EventLoop loop, CloseMode closeMode) {
    this.loop = loop;
    this.pool = new HttpConnectionPool(loop, CONNECT_TIMEOUT_MS, closeMode);
  }

  /**
   * A request to send.
   *
   * @param method HTTP method
   * @param path path and query
   * @param headers headers besides Host and Content-Length
   * @param body body in heap memory, empty for a request without one
   */
  public record Request(HttpMethod method, String path, Map<String, String> headers, ByteBuf body) {
    /**
     * Creates a request without a body.
     *
     * @param method HTTP method
     * @param path path and query
     * @return the request
     */
    public static Request empty(HttpMethod method, String path) {
      return new Request(method, path, Map.of(), Unpooled.EMPTY_BUFFER);
    }

    /**
     * Creates a POST request.
     *
     * @param path path and query
     * @param headers headers besides Host and Content-Length
     * @param body content of the body
     * @return the request
     */
    public static Request post(String path, Map<String, String> headers, byte[] body) {
      return new Request(HttpMethod.POST, path, headers, Unpooled.wrappedBuffer(body));
    }
  }

  /**
   * Sends a request. Thread-safe.
   *
   * @param address address of the server
   * @param request the request
   * @param timeoutMs longest time until the response is complete, in milliseconds
   * @return the response with any status, or the reason why there is none
   */
  public CompletableFuture<Result<BufferedResponse>> send(
      Address address, Request request, int timeoutMs) {
    return send(address, request, timeoutMs, CallAuthority.UNLIMITED);
  }

  /**
   * Sends a request that may be outstanding only while its sender has the authority for it.
   * Thread-safe.
   *
   * @param address address of the server
   * @param request the request
   * @param timeoutMs longest time until the response is complete, in milliseconds
   * @param authority limits the request: if it has ended before the socket write, the request fails
   *     with {@link NetFailure.Withheld}; if it ends before the response is complete, the
   *     connection closes and the request fails with {@link NetFailure.NoAnswer}
   * @return the response with any status, or the reason why there is none
   */
  public CompletableFuture<Result<BufferedResponse>> send(
      Address address, Request request, int timeoutMs, CallAuthority authority) {
    CompletableFuture<Result<BufferedResponse>> future = new CompletableFuture<>();
    loop.execute(
        () ->
            pool.acquire(
                address,
                true,
                acquired ->
                    acquired.fold(
                        connection -> startCall(connection, request, timeoutMs, authority, future),
                        failure -> future.complete(Result.failed(failure)))));
    return future;
  }

  private boolean startCall(
      HttpConnection connection,
      Request request,
      int timeoutMs,
      CallAuthority authority,
      CompletableFuture<Result<BufferedResponse>> future) {
    Address address = connection.address();
    BufferedCall call = new BufferedCall(connection, MAX_RESPONSE_BYTES, future);
    Runnable closeIdle = () -> pool.closeIdle(address);
    if (!call.send(toHttpRequest(address, request), authority, closeIdle)) {
      return false;
    }
    var timer =
        loop.schedule(
            () -> call.abandon("no response within " + timeoutMs + " ms", closeIdle),
            timeoutMs,
            TimeUnit.MILLISECONDS);
    future.whenComplete((result, thrown) -> timer.cancel(false));
    return true;
  }

  private static DefaultFullHttpRequest toHttpRequest(Address address, Request request) {
    ByteBuf body = request.body();
    int length = body.readableBytes();
    var httpRequest =
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, request.method(), request.path(), body);
    httpRequest.headers().set(HttpHeaderNames.HOST, address.toString());
    if (length > 0 || request.method().equals(HttpMethod.POST)) {
      httpRequest.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
    }
    request.headers().forEach((name, value) -> httpRequest.headers().set(name, value));
    return httpRequest;
  }
}
