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

/** Creates the body of the request that resumes a stream on another engine. */
final class ResumeRequestBody {
  private static final String DATA_PREFIX = "data:";

  private ResumeRequestBody() {}

  /**
   * Returns the request body with the number and the text of the tokens already sent, the unchanged
   * body if there are none, or empty if the body or an event is not valid JSON.
   */
  static Optional<ByteBuf> create(ByteBuf body, ResumableEventStream.SentEvents sentEvents) {
    if (sentEvents.tokens() == 0) {
      return Optional.of(body);
    }
    return Codec.json()
        .decodeTree(ByteBufUtil.getBytes(body))
        .value()
        .filter(JsonNode::isObject)
        .map(tree -> (ObjectNode) tree)
        .flatMap(
            tree ->
                sentText(sentEvents)
                    .map(sentText -> addResumeFields(tree, sentEvents.tokens(), sentText)))
        .map(tree -> Unpooled.wrappedBuffer(Codec.json().encode(tree)));
  }

  private static ObjectNode addResumeFields(ObjectNode tree, int sentTokens, String sentText) {
    return tree.put("resume_from_token", sentTokens).put("resume_text", sentText);
  }

  private static Optional<String> sentText(ResumableEventStream.SentEvents sentEvents) {
    StringBuilder text = new StringBuilder();
    for (String line : sentEvents.events().lines().toList()) {
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
