package io.samphiregauge.net;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.samphiregauge.core.result.Result;
import java.util.concurrent.CompletableFuture;

/** HTTP client that opens a new connection for each request and buffers the response. */
public final class OneShotHttpClient {
  private static final int MAX_RESPONSE_BYTES = 64 * 1024 * 1024;
  private static final int CONNECT_TIMEOUT_MS = 2_000;

  private final EventLoopGroup loops;
  private final CloseMode closeMode;

  /**
   * Creates a client whose connections close gracefully.
   *
   * @param loops event loops of the connections; the client does not shut them down
   */
  public OneShotHttpClient(EventLoopGroup loops) {
    this(loops, CloseMode.GRACEFUL);
  }

  /**
   * Creates a client.
   *
   * @param loops event loops of the connections; the client does not shut them down
   * @param closeMode how the connections close
   */
  public OneShotHttpClient(EventLoopGroup loops, CloseMode closeMode) {
    this.loops = loops;
    this.closeMode = closeMode;
  }

  /**
   * Sends a GET request.
   *
   * @param address address of the server
   * @param path path and query
   * @param timeoutMs read timeout in milliseconds
   * @return the body of a 2xx response, or the failure
   */
  public CompletableFuture<Result<byte[]>> get(Address address, String path, int timeoutMs) {
    return send(address, HttpMethod.GET, path, new byte[0], timeoutMs, CallAuthority.UNLIMITED);
  }

  /**
   * Sends a POST request with a JSON body.
   *
   * @param address address of the server
   * @param path path and query
   * @param json body
   * @param timeoutMs read timeout in milliseconds
   * @return the body of a 2xx response, or the failure
   */
  public CompletableFuture<Result<byte[]>> post(
      Address address, String path, byte[] json, int timeoutMs) {
    return send(address, HttpMethod.POST, path, json, timeoutMs, CallAuthority.UNLIMITED);
  }

  /**
   * Sends a POST request with a JSON body that may be outstanding only while its sender has the
   * authority for it.
   *
   * @param address address of the server
   * @param path path and query
   * @param json body
   * @param timeoutMs read timeout in milliseconds
   * @param authority limits the request: if it has ended before the socket write, the request fails
   *     with {@link NetFailure.Withheld}; if it ends before the response is complete, the
   *     connection closes and the request fails with {@link NetFailure.NoAnswer}
   * @return the body of a 2xx response, or the failure
   */
  public CompletableFuture<Result<byte[]>> postIf(
      Address address, String path, byte[] json, int timeoutMs, CallAuthority authority) {
    return send(address, HttpMethod.POST, path, json, timeoutMs, authority);
  }

  private CompletableFuture<Result<byte[]>> send(
      Address address,
      HttpMethod method,
      String path,
      byte[] body,
      int timeoutMs,
      CallAuthority authority) {
    CompletableFuture<Result<BufferedResponse>> future = new CompletableFuture<>();
    new HttpConnector(loops, CONNECT_TIMEOUT_MS, timeoutMs, closeMode)
        .connect(
            address,
            connection -> {},
            connection -> {},
            connected ->
                connected.fold(
                    connection ->
                        new BufferedCall(connection, MAX_RESPONSE_BYTES, future)
                            .send(toHttpRequest(address, method, path, body), authority, () -> {}),
                    failure -> future.complete(Result.failed(failure))));
    return future.thenApply(result -> result.flatMap(response -> toBody(address, response)));
  }

  private static DefaultFullHttpRequest toHttpRequest(
      Address address, HttpMethod method, String path, byte[] body) {
    var request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, method, path, Unpooled.wrappedBuffer(body));
    request
        .headers()
        .set(HttpHeaderNames.HOST, address.toString())
        .set(HttpHeaderNames.CONTENT_TYPE, "application/json")
        .set(HttpHeaderNames.CONTENT_LENGTH, body.length)
        .set(HttpHeaderNames.CONNECTION, "close");
    return request;
  }

  private static Result<byte[]> toBody(Address address, BufferedResponse response) {
    return response.isSuccess()
        ? Result.success(response.body())
        : Result.failed(
            new NetFailure.Refused(address.toString(), response.status(), response.text()));
  }
}
