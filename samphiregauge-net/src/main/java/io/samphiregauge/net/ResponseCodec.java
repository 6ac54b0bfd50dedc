package io.samphiregauge.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.List;
import java.util.Optional;

/**
 * Encodes requests and decodes responses, one request at a time. Unlike Netty's client codec, it
 * shows whether bytes of a further response have arrived, and rejects responses with invalid syntax
 * or ambiguous framing.
 */
final class ResponseCodec
    extends CombinedChannelDuplexHandler<ResponseCodec.Decoder, ResponseCodec.Encoder> {

  ResponseCodec(HttpDecoderConfig config) {
    Decoder decoder = new Decoder(config);
    init(decoder, new Encoder(decoder));
  }

  /** Returns whether all received bytes belong to complete responses. */
  boolean isBetweenResponses() {
    return inboundHandler().isBetweenResponses();
  }

  /** Records the method of each request, which determines whether its response has a body. */
  static final class Encoder extends HttpRequestEncoder {
    private final Decoder decoder;

    Encoder(Decoder decoder) {
      this.decoder = decoder;
    }

    @Override
    protected void encode(ChannelHandlerContext ctx, Object message, List<Object> out)
        throws Exception {
      if (message instanceof HttpRequest request) {
        decoder.headRequest = request.method().equals(HttpMethod.HEAD);
      }
      super.encode(ctx, message, out);
    }
  }

  /** Decodes responses, checks their syntax and detects the boundaries between them. */
  static final class Decoder extends HttpResponseDecoder {
    /** Where the next byte belongs. */
    private enum Position {
      BETWEEN_RESPONSES,
      HEAD,
      BODY
    }

    private boolean headRequest;
    private Position position = Position.BETWEEN_RESPONSES;
    private Optional<ChunkedBodySyntax> chunks = Optional.empty();

    Decoder(HttpDecoderConfig config) {
      super(config);
    }

    boolean isBetweenResponses() {
      return position == Position.BETWEEN_RESPONSES && actualReadableBytes() == 0;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out)
        throws Exception {
      if (position != Position.BODY) {
        ResponseHeadSyntax.check(buffer, position == Position.BETWEEN_RESPONSES);
      }
      int start = buffer.readerIndex();
      int partsBefore = out.size();
      super.decode(ctx, buffer, out);
      checkChunks(buffer, start, out, partsBefore);
      if (out.size() > partsBefore) {
        updatePosition(out.get(partsBefore), out.get(out.size() - 1));
      } else if (position == Position.BETWEEN_RESPONSES && buffer.readerIndex() > start) {
        position = Position.HEAD;
      }
    }

    /** Checks the bytes of a chunked body that were decoded; if they are invalid, no part stays. */
    private void checkChunks(ByteBuf buffer, int start, List<Object> out, int partsBefore) {
      try {
        chunks.ifPresent(syntax -> syntax.check(buffer, start, buffer.readerIndex()));
      } catch (IllegalArgumentException e) {
        while (out.size() > partsBefore) {
          ReferenceCountUtil.release(out.remove(out.size() - 1));
        }
        throw e;
      }
    }

    private void updatePosition(Object firstPart, Object lastPart) {
      if (lastPart instanceof LastHttpContent) {
        position = Position.BETWEEN_RESPONSES;
        chunks = Optional.empty();
        return;
      }
      position = Position.BODY;
      if (firstPart instanceof HttpResponse head && HttpUtil.isTransferEncodingChunked(head)) {
        chunks = Optional.of(new ChunkedBodySyntax());
      }
    }

    /** Called once for each complete head, before the decoder determines where the body ends. */
    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
      TransferFraming.check(message);
      boolean interim =
          message instanceof HttpResponse response
              && response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
      return (headRequest && !interim) || super.isContentAlwaysEmpty(message);
    }
  }
}
