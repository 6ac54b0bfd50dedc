package io.samphiregauge.standins;

import io.samphiregauge.schema.standin.EngineSpec;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Continuous batching: in each step every stream whose prompt is processed gains one token, and one
 * part of one prompt is processed. Higher priorities enter the batch first, and earlier requests
 * among equals.
 */
final class ContinuousBatch {
  private static final int PROMPT_TOKENS_PER_STEP = 512;
  private static final long US_PER_SECOND = 1_000_000;

  private final EngineSpec spec;
  private final DelayedExecutor delayedExecutor;
  private final PrefixCache cache;
  private final List<TokenStream> queue = new ArrayList<>();
  private final List<TokenStream> running = new ArrayList<>();
  private boolean stepping;

  ContinuousBatch(EngineSpec spec, DelayedExecutor delayedExecutor, PrefixCache cache) {
    this.spec = spec;
    this.delayedExecutor = delayedExecutor;
    this.cache = cache;
  }

  void add(TokenStream stream) {
    queue.add(stream);
    queue.sort(Comparator.comparingInt((TokenStream s) -> s.body.priority()).reversed());
    if (!stepping) {
      step();
    }
  }

  /** Takes a stream out, as when its connection closes. */
  void cancel(TokenStream stream) {
    queue.remove(stream);
    running.remove(stream);
  }

  /** Takes all streams out and returns them. */
  List<TokenStream> removeAll() {
    List<TokenStream> all = new ArrayList<>(running);
    all.addAll(queue);
    running.clear();
    queue.clear();
    return all;
  }

  int queued() {
    return queue.size();
  }

  int running() {
    return running.size();
  }

  int queuedPromptTokens() {
    return queue.stream().mapToInt(TokenStream::remainingPromptTokens).sum()
        + running.stream().mapToInt(TokenStream::remainingPromptTokens).sum();
  }

  private void step() {
    admit();
    stepping = !running.isEmpty();
    if (!stepping) {
      return;
    }
    Optional<TokenStream> prefill = running.stream().filter(s -> !s.isDecoding()).findFirst();
    int tokens =
        prefill.map(s -> Math.min(PROMPT_TOKENS_PER_STEP, s.remainingPromptTokens())).orElse(0);
    long prefillUs = tokens * US_PER_SECOND / spec.getPrefillTokensPerSecond();
    delayedExecutor.executeAfterUs(spec.getStepUs() + prefillUs, () -> finishStep(prefill, tokens));
  }

  private void admit() {
    while (running.size() < spec.getSlots() && !queue.isEmpty()) {
      TokenStream next = queue.remove(0);
      next.skipCachedPrompt(cache.useCachedTokens(next.prefixHashes));
      running.add(next);
    }
  }

  private void finishStep(Optional<TokenStream> prefill, int tokens) {
    running.stream().filter(TokenStream::isDecoding).forEach(TokenStream::emitToken);
    prefill.filter(running::contains).ifPresent(stream -> processPrompt(stream, tokens));
    List<TokenStream> finished = running.stream().filter(TokenStream::isFinished).toList();
    running.removeAll(finished);
    finished.forEach(TokenStream::finish);
    step();
  }

  private void processPrompt(TokenStream stream, int tokens) {
    stream.processPrompt(tokens);
    if (stream.isDecoding()) {
      cache.store(stream.prefixHashes);
    }
  }
}
