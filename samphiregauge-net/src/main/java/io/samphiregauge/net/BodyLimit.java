package io.samphiregauge.net;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;

/**
 * Aggregates a request with its body, and replaces one above the limit by a {@link RequestError}.
 */
final class BodyLimit extends HttpObjectAggregator {
  private final int maxBodyBytes;

  BodyLimit(int maxBodyBytes) {
    super(maxBodyBytes);
    this.maxBodyBytes = maxBodyBytes;
  }

  @Override
  protected Object newContinueResponse(HttpMessage start, int maxBytes, ChannelPipeline pipeline) {
    // Netty itself would respond to an oversized body announced with Expect: 100-continue, without
    // the typed error.
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
