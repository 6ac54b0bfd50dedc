package io.samphiregauge.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.timeout.IdleStateHandler;
import io.samphiregauge.core.result.Result;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Opens connections to backend servers, the log and the platform. All clients use it, so that the
 * same checks apply to each response.
 *
 * @param loops event loops of the connections
 * @param connectTimeoutMs longest time to open a connection, in milliseconds
 * @param readIdleTimeoutMs longest time without received data while a response is read, in
 *     milliseconds
 * @param closeMode how the connections close
 */
record HttpConnector(
    EventLoopGroup loops, int connectTimeoutMs, int readIdleTimeoutMs, CloseMode closeMode) {
  private static final int MAX_LINE_BYTES = 4 * 1024;
  private static final int MAX_HEADER_BYTES = 64 * 1024;
  private static final int MAX_CHUNK_BYTES = 64 * 1024;

  /**
   * Opens a connection.
   *
   * @param address address of the server
   * @param onReusable receives the connection each time it can carry another request
   * @param onClosed receives the connection when it has closed
   * @param callback receives the connection on its event loop, or the reason why there is none; in
   *     that case nothing was sent
   */
  void connect(
      Address address,
      Consumer<HttpConnection> onReusable,
      Consumer<HttpConnection> onClosed,
      Consumer<Result<HttpConnection>> callback) {
    Bootstrap bootstrap = new Bootstrap();
    closeMode.configure(bootstrap);
    bootstrap
        .group(loops)
        .channelFactory(ProbedSocketChannel::new)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs)
        .option(ChannelOption.TCP_NODELAY, true)
        .handler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                addCodec(channel);
              }
            })
        .connect(address.toSocketAddress())
        .addListener(
            (ChannelFuture connected) ->
                callback.accept(toConnection(address, connected, onReusable, onClosed)));
  }

  private void addCodec(SocketChannel channel) {
    channel
        .pipeline()
        .addLast(new IdleStateHandler(readIdleTimeoutMs, 0, 0, TimeUnit.MILLISECONDS))
        .addLast(
            new ResponseCodec(
                new HttpDecoderConfig()
                    .setMaxInitialLineLength(MAX_LINE_BYTES)
                    .setMaxHeaderSize(MAX_HEADER_BYTES)
                    .setMaxChunkSize(MAX_CHUNK_BYTES)));
  }

  private static Result<HttpConnection> toConnection(
      Address address,
      ChannelFuture connected,
      Consumer<HttpConnection> onReusable,
      Consumer<HttpConnection> onClosed) {
    if (!connected.isSuccess()) {
      return Result.failed(
          new NetFailure.NotConnected(address.toString(), String.valueOf(connected.cause())));
    }
    ProbedSocketChannel channel = (ProbedSocketChannel) connected.channel();
    HttpConnection connection = new HttpConnection(address, channel, onReusable, onClosed);
    channel.pipeline().addLast(connection.handler());
    return Result.success(connection);
  }
}
