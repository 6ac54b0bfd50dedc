package io.samphiregauge.standins;

import io.samphiregauge.schema.standin.EngineSpec;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Simulates the continuous batching of an engine. In each step, every stream whose prompt is fully
 * processed and whose receiver is writable emits one token, and at most one chunk of one prompt is
 * processed. Queued streams are admitted by priority, highest first, and in order of arrival within
 * a priority. Not thread-safe.
 */
final class ContinuousBatch {
  private static final int MAX_PROMPT_TOKENS_PER_STEP = 512;
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

  /**
   * Removes a stream from the queue or the batch without ending it, as when its connection closes.
   */
  void cancel(TokenStream stream) {
    queue.remove(stream);
    running.remove(stream);
  }

  /** Removes and returns all streams, running and queued, without ending them. */
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

  /** Returns the prompt tokens that are not processed yet, of queued and running streams. */
  int remainingPromptTokens() {
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
        prefill.map(s -> Math.min(MAX_PROMPT_TOKENS_PER_STEP, s.remainingPromptTokens())).orElse(0);
    long prefillUs = tokens * US_PER_SECOND / spec.getPrefillTokensPerSecond();
    delayedExecutor.executeAfterUs(spec.getStepUs() + prefillUs, () -> finishStep(prefill, tokens));
  }

  private void admit() {
    while (running.size() < spec.getSlots() && !queue.isEmpty()) {
      TokenStream next = queue.remove(0);
      next.skipCachedPrompt(cache.touchCachedPrefix(next.prefixHashes));
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
