package io.samphiregauge.net;

import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;

/**
 * Decodes requests, and rejects those with ambiguous framing, host or path: two servers could
 * disagree about where such a request ends, which allows request smuggling, or what it asks for.
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

    /** Called once for each complete head, before the decoder determines where the body ends. */
    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage head) {
      TransferFraming.check(head);
      RequestHeads.check((HttpRequest) head);
      return super.isContentAlwaysEmpty(head);
    }
  }
}
