package io.samphiregauge.standins;

import io.samphiregauge.schema.standin.StreamEnding;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.IntConsumer;

/** One request in the batch of an engine. */
final class Stream {
  final CompletionBody request;
  final List<String> prefixes;

  private final IntConsumer onToken;
  private final Consumer<StreamEnding> onEnd;
  private final BooleanSupplier writable;
  private int promptTokensLeft;
  private int nextToken;

  Stream(
      CompletionBody request,
      IntConsumer onToken,
      Consumer<StreamEnding> onEnd,
      BooleanSupplier writable) {
    this.request = request;
    this.prefixes = PrefixHashes.of(request.model(), request.prompt());
    this.onToken = onToken;
    this.onEnd = onEnd;
    this.writable = writable;
    this.promptTokensLeft = request.promptTokens();
    this.nextToken = request.resumeFromToken();
  }

  /** Skips the part of the prompt whose KV cache is at hand. */
  void skipPrompt(int cachedTokens) {
    promptTokensLeft = Math.max(0, promptTokensLeft - cachedTokens);
  }

  int promptTokensLeft() {
    return promptTokensLeft;
  }

  boolean decodes() {
    return promptTokensLeft == 0;
  }

  void processPrompt(int tokens) {
    promptTokensLeft -= tokens;
  }

  boolean isFinished() {
    return decodes() && (request.prefillOnly() || nextToken >= request.maxTokens());
  }

  /** Emits a token, unless the receiver does not take any more at the moment. */
  void emit() {
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
