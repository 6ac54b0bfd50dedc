package io.samphiregauge.gateway;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.samphiregauge.core.Clock;
import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.net.Address;
import io.samphiregauge.net.HttpLimits;
import io.samphiregauge.net.HttpServer;
import io.samphiregauge.net.RequestError;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.function.Function;

/** HTTP server for small responses that are computed without blocking, such as readiness checks. */
public final class PageServer {
  private static final Clock CLOCK = () -> DualTimestamp.monotonicNowMs();

  private PageServer() {}

  /** Returns a page for a path with its query, and the IP address of the sender of the request. */
  @FunctionalInterface
  public interface PageFunction {
    /**
     * Returns a page. Called on an event loop.
     *
     * @param uri path and query
     * @param senderIp IP address of the sender
     * @return the page
     */
    Page apply(String uri, String senderIp);
  }

  /**
   * A response.
   *
   * @param status HTTP status code
   * @param contentType media type of the body
   * @param body the body, encoded as UTF-8
   */
  public record Page(int status, String contentType, String body) {}

  /**
   * Starts a server.
   *
   * @param loops event loops for the connections
   * @param address address to bind
   * @param handler returns the page for a path with its query; called on an event loop
   * @return the server, or a failure if the address cannot be bound
   */
  public static Result<HttpServer> start(
      EventLoopGroup loops, Address address, Function<String, Page> handler) {
    return start(loops, address, (uri, senderIp) -> handler.apply(uri));
  }

  /**
   * Starts a server whose pages depend on the sender of the request.
   *
   * @param loops event loops for the connections
   * @param address address to bind
   * @param handler returns the page for a request
   * @return the server, or a failure if the address cannot be bound
   */
  public static Result<HttpServer> start(
      EventLoopGroup loops, Address address, PageFunction handler) {
    return HttpServer.start(
        loops, address, HttpLimits::defaults, CLOCK, channel -> new PageHandler(handler));
  }

  private static final class PageHandler extends SimpleChannelInboundHandler<Object> {
    private final PageFunction handler;

    PageHandler(PageFunction handler) {
      this.handler = handler;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Object message) {
      if (message instanceof FullHttpRequest request) {
        write(ctx, handler.apply(request.uri(), senderIp(ctx)));
      } else if (message instanceof RequestError error) {
        write(ctx, new Page(error.status(), "text/plain", error.message()));
      }
    }

    private static String senderIp(ChannelHandlerContext ctx) {
      return ctx.channel().remoteAddress() instanceof InetSocketAddress sender
          ? sender.getAddress().getHostAddress()
          : "";
    }

    private static void write(ChannelHandlerContext ctx, Page page) {
      var body = Unpooled.copiedBuffer(page.body(), StandardCharsets.UTF_8);
      var response =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(page.status()), body);
      response
          .headers()
          .set(HttpHeaderNames.CONTENT_TYPE, page.contentType())
          .set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
      ctx.writeAndFlush(response);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
