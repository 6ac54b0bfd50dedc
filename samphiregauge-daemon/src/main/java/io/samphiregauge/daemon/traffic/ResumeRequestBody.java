package io.samphiregauge.daemon.traffic;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.net.Codec;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** Writes the body that asks another engine to continue a stream. */
final class ResumeRequestBody {
  private static final String DATA_PREFIX = "data:";

  private ResumeRequestBody() {}

  /** Adds the tokens that the caller has to the body of the request. */
  static Optional<ByteBuf> create(ByteBuf body, ResumableEventStream.SentEvents sent) {
    if (sent.tokens() == 0) {
      return Optional.of(body);
    }
    return Codec.json()
        .decodeTree(ByteBufUtil.getBytes(body))
        .value()
        .filter(JsonNode::isObject)
        .map(tree -> (ObjectNode) tree)
        .flatMap(tree -> sentText(sent).map(text -> addResumeFields(tree, sent.tokens(), text)))
        .map(tree -> Unpooled.wrappedBuffer(Codec.json().encode(tree)));
  }

  private static ObjectNode addResumeFields(ObjectNode tree, int tokens, String text) {
    return tree.put("resume_from_token", tokens).put("resume_text", text);
  }

  private static Optional<String> sentText(ResumableEventStream.SentEvents sent) {
    StringBuilder text = new StringBuilder();
    for (String line : sent.events().lines().toList()) {
      if (line.startsWith(DATA_PREFIX)) {
        byte[] json = line.substring(DATA_PREFIX.length()).getBytes(StandardCharsets.UTF_8);
        Result<JsonNode> token = Codec.json().decodeTree(json);
        if (token.value().isEmpty()) {
          return Optional.empty();
        }
        text.append(token.value().get().path("text").asText());
      }
    }
    return Optional.of(text.toString());
  }
}
