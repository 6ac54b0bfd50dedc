package io.samphiregauge.net;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;

/**
 * Aggregates a request with its body. Passes a {@link RequestError} on instead of a request whose
 * body exceeds the limit.
 */
final class BodyLimit extends HttpObjectAggregator {
  private final int maxBodyBytes;

  BodyLimit(int maxBodyBytes) {
    super(maxBodyBytes);
    this.maxBodyBytes = maxBodyBytes;
  }

  @Override
  protected Object newContinueResponse(HttpMessage start, int maxBytes, ChannelPipeline pipeline) {
    // For an oversized request with Expect: 100-continue, Netty's default is a 413 response without
    // the typed error; null makes it call handleOversizedMessage instead.
    return HttpUtil.getContentLength(start, -1L) > maxBytes
        ? null
        : super.newContinueResponse(start, maxBytes, pipeline);
  }

  @Override
  protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
    ctx.fireChannelRead(
        new RequestError(
            413,
            "body_too_large",
            "The request body is larger than %d bytes.".formatted(maxBodyBytes)));
  }
}
