package io.samphiregauge.standins;

import com.fasterxml.jackson.databind.JsonNode;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.net.Codec;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** Fields that the engine reads from the body of a completion request; other fields are ignored. */
record CompletionBody(
    String model,
    String prompt,
    int maxTokens,
    int resumeFromToken,
    int priority,
    String user,
    boolean prefillOnly,
    Optional<String> kvHandle) {
  private static final int DEFAULT_MAX_TOKENS = 16;
  private static final int BYTES_PER_TOKEN = 4;

  static Result<CompletionBody> parse(byte[] body) {
    return Codec.json().decodeTree(body).map(CompletionBody::of);
  }

  /** Returns the prompt length in tokens of 4 bytes, rounded up. */
  int promptTokens() {
    int bytes = prompt.getBytes(StandardCharsets.UTF_8).length;
    return (bytes + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN;
  }

  /**
   * Returns the text of a token. It depends only on the user and the index, so a resumed stream
   * continues with the same text.
   */
  String tokenText(int index) {
    return user.isEmpty() ? "t%d ".formatted(index) : "%s:t%d ".formatted(user, index);
  }

  private static CompletionBody of(JsonNode tree) {
    return new CompletionBody(
        tree.path("model").asText(""),
        prompt(tree),
        tree.path("max_tokens").asInt(DEFAULT_MAX_TOKENS),
        tree.path("resume_from_token").asInt(0),
        tree.path("priority").asInt(0),
        tree.path("user").asText(""),
        tree.path("prefill_only").asBoolean(false),
        Optional.of(tree.path("kv_handle").asText("")).filter(handle -> !handle.isEmpty()));
  }

  private static String prompt(JsonNode tree) {
    if (tree.path("prompt").isTextual()) {
      return tree.path("prompt").asText();
    }
    StringBuilder text = new StringBuilder();
    tree.path("messages").forEach(message -> text.append(message.path("content").asText("")));
    return text.toString();
  }
}
