package io.samphiregauge.net;

import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;

/**
 * Decodes requests, and rejects those with both a content length and chunked encoding: two servers
 * could disagree about where such a request ends, which allows request smuggling.
 */
final class StrictServerCodec
    extends CombinedChannelDuplexHandler<HttpRequestDecoder, HttpResponseEncoder> {

  StrictServerCodec(HttpDecoderConfig config) {
    super(new Decoder(config), new HttpResponseEncoder());
  }

  private static final class Decoder extends HttpRequestDecoder {
    Decoder(HttpDecoderConfig config) {
      super(config);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
      throw new IllegalArgumentException(
          "both Content-Length and Transfer-Encoding: chunked are present");
    }
  }
}
