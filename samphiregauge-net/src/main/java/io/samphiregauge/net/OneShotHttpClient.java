package io.samphiregauge.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.ReadTimeoutHandler;
import io.samphiregauge.core.result.Result;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

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
    CompletableFuture<Result<byte[]>> future = new CompletableFuture<>();
    Bootstrap bootstrap =
        new Bootstrap()
            .group(loops)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
            .option(ChannelOption.TCP_NODELAY, true)
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    channel
                        .pipeline()
                        .addLast(new ReadTimeoutHandler(timeoutMs, TimeUnit.MILLISECONDS))
                        .addLast(new HttpClientCodec())
                        .addLast(new HttpObjectAggregator(MAX_RESPONSE_BYTES))
                        .addLast(new ResponseHandler(address, future));
                  }
                });
    closeMode.configure(bootstrap);
    bootstrap
        .connect(address.toSocketAddress())
        .addListener(
            (ChannelFuture connected) -> {
              if (connected.isSuccess() && AuthorityWatch.hasEnded(authority)) {
                future.complete(Result.failed(new NetFailure.Withheld(address.toString())));
                connected.channel().close();
              } else if (connected.isSuccess()) {
                write(connected.channel(), address, method, path, body);
                watchAuthority(connected.channel(), address, authority, future);
              } else {
                future.complete(
                    Result.failed(
                        new NetFailure.NotConnected(
                            address.toString(), String.valueOf(connected.cause()))));
              }
            });
    return future;
  }

  private static void write(
      Channel channel, Address address, HttpMethod method, String path, byte[] body) {
    var request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, method, path, Unpooled.wrappedBuffer(body));
    request
        .headers()
        .set(HttpHeaderNames.HOST, address.toString())
        .set(HttpHeaderNames.CONTENT_TYPE, "application/json")
        .set(HttpHeaderNames.CONTENT_LENGTH, body.length)
        .set(HttpHeaderNames.CONNECTION, "close");
    channel.writeAndFlush(request);
  }

  private static void watchAuthority(
      Channel channel,
      Address address,
      CallAuthority authority,
      CompletableFuture<Result<byte[]>> future) {
    AuthorityWatch.start(
        channel.eventLoop(),
        authority,
        future,
        () -> {
          future.complete(
              Result.failed(
                  new NetFailure.NoAnswer(
                      address.toString(), "no response before the end of the sender's authority")));
          channel.close();
        });
  }

  private static final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
    private static final int FIRST_NON_SUCCESS_STATUS = 300;

    private final Address address;
    private final CompletableFuture<Result<byte[]>> future;

    ResponseHandler(Address address, CompletableFuture<Result<byte[]>> future) {
      this.address = address;
      this.future = future;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
      byte[] body = ByteBufUtil.getBytes(response.content());
      int status = response.status().code();
      future.complete(
          status < FIRST_NON_SUCCESS_STATUS
              ? Result.success(body)
              : Result.failed(
                  new NetFailure.Refused(
                      address.toString(), status, new String(body, StandardCharsets.UTF_8))));
      ctx.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      future.complete(
          Result.failed(new NetFailure.NoAnswer(address.toString(), "connection closed")));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      future.complete(
          Result.failed(new NetFailure.NoAnswer(address.toString(), String.valueOf(cause))));
      ctx.close();
    }
  }
}
