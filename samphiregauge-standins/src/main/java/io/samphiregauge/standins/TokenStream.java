package io.samphiregauge.standins;

import io.samphiregauge.schema.standin.StreamEnding;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.IntConsumer;

/**
 * One completion request in the batch of an engine: processes its prompt, then emits its tokens.
 */
final class TokenStream {
  final CompletionBody body;
  final List<String> prefixHashes;

  private final IntConsumer onToken;
  private final Consumer<StreamEnding> onEnd;
  private final BooleanSupplier writable;
  private int remainingPromptTokens;
  private int nextToken;

  TokenStream(
      CompletionBody body,
      IntConsumer onToken,
      Consumer<StreamEnding> onEnd,
      BooleanSupplier writable) {
    this.body = body;
    this.prefixHashes = PrefixHashes.of(body.model(), body.prompt());
    this.onToken = onToken;
    this.onEnd = onEnd;
    this.writable = writable;
    this.remainingPromptTokens = body.promptTokens();
    this.nextToken = body.resumeFromToken();
  }

  /** Skips the first tokens of the prompt, whose KV cache is available. */
  void skipCachedPrompt(int cachedTokens) {
    remainingPromptTokens = Math.max(0, remainingPromptTokens - cachedTokens);
  }

  int remainingPromptTokens() {
    return remainingPromptTokens;
  }

  boolean isDecoding() {
    return remainingPromptTokens == 0;
  }

  void processPrompt(int tokens) {
    remainingPromptTokens -= tokens;
  }

  boolean isFinished() {
    return isDecoding() && (body.prefillOnly() || nextToken >= body.maxTokens());
  }

  /** Emits the next token, unless the stream is finished or its receiver is not writable. */
  void emitToken() {
    if (isFinished() || !writable.getAsBoolean()) {
      return;
    }
    onToken.accept(nextToken);
    nextToken++;
  }

  void finish() {
    onEnd.accept(StreamEnding.FINISHED);
  }

  void interrupt() {
    onEnd.accept(StreamEnding.INTERRUPTED);
  }
}
