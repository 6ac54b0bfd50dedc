package io.samphiregauge.standins;

import io.samphiregauge.schema.standin.StreamEnding;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.IntConsumer;

/** One request in the batch of an engine. */
final class TokenStream {
  final CompletionBody body;
  final List<String> prefixHashes;

  private final IntConsumer onToken;
  private final Consumer<StreamEnding> onEnd;
  private final BooleanSupplier writable;
  private int remainingPromptTokens;
  private int nextToken;

  TokenStream(
      CompletionBody request,
      IntConsumer onToken,
      Consumer<StreamEnding> onEnd,
      BooleanSupplier writable) {
    this.body = request;
    this.prefixHashes = PrefixHashes.of(request.model(), request.prompt());
    this.onToken = onToken;
    this.onEnd = onEnd;
    this.writable = writable;
    this.remainingPromptTokens = request.promptTokens();
    this.nextToken = request.resumeFromToken();
  }

  /** Skips the part of the prompt whose KV cache is at hand. */
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

  /** Emits a token, unless the receiver does not take any more at the moment. */
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
