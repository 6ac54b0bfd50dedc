package io.samphiregauge.net;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;

/** Collects the body of a request up to a limit, and turns a larger one into a fault. */
final class BodyLimit extends HttpObjectAggregator {
  private final int maxBodyBytes;

  BodyLimit(int maxBodyBytes) {
    super(maxBodyBytes);
    this.maxBodyBytes = maxBodyBytes;
  }

  @Override
  protected Object newContinueResponse(HttpMessage start, int maxBytes, ChannelPipeline pipeline) {
    // Without this, a body that is announced as too large gets an answer without a typed error.
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
