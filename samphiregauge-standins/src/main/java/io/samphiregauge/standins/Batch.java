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
final class Batch {
  private static final int PROMPT_TOKENS_PER_STEP = 512;
  private static final long US_PER_SECOND = 1_000_000;

  private final EngineSpec spec;
  private final Scheduler scheduler;
  private final PrefixCache cache;
  private final List<Stream> queue = new ArrayList<>();
  private final List<Stream> running = new ArrayList<>();
  private boolean stepping;

  Batch(EngineSpec spec, Scheduler scheduler, PrefixCache cache) {
    this.spec = spec;
    this.scheduler = scheduler;
    this.cache = cache;
  }

  void add(Stream stream) {
    queue.add(stream);
    queue.sort(Comparator.comparingInt((Stream s) -> s.request.priority()).reversed());
    if (!stepping) {
      step();
    }
  }

  /** Takes a stream out, as when its connection closes. */
  void cancel(Stream stream) {
    queue.remove(stream);
    running.remove(stream);
  }

  /** Takes all streams out and returns them. */
  List<Stream> clear() {
    List<Stream> all = new ArrayList<>(running);
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
    return queue.stream().mapToInt(Stream::promptTokensLeft).sum()
        + running.stream().mapToInt(Stream::promptTokensLeft).sum();
  }

  private void step() {
    admit();
    stepping = !running.isEmpty();
    if (!stepping) {
      return;
    }
    Optional<Stream> prefill = running.stream().filter(s -> !s.decodes()).findFirst();
    int tokens = prefill.map(s -> Math.min(PROMPT_TOKENS_PER_STEP, s.promptTokensLeft())).orElse(0);
    long prefillUs = tokens * US_PER_SECOND / spec.getPrefillTokensPerSecond();
    scheduler.after(spec.getStepUs() + prefillUs, () -> finishStep(prefill, tokens));
  }

  private void admit() {
    while (running.size() < spec.getSlots() && !queue.isEmpty()) {
      Stream next = queue.remove(0);
      next.skipPrompt(cache.cachedTokens(next.prefixes));
      running.add(next);
    }
  }

  private void finishStep(Optional<Stream> prefill, int tokens) {
    running.stream().filter(Stream::decodes).forEach(Stream::emit);
    prefill.filter(running::contains).ifPresent(stream -> process(stream, tokens));
    List<Stream> finished = running.stream().filter(Stream::isFinished).toList();
    running.removeAll(finished);
    finished.forEach(Stream::finish);
    step();
  }

  private void process(Stream stream, int tokens) {
    stream.processPrompt(tokens);
    if (stream.decodes()) {
      cache.store(stream.prefixes);
    }
  }
}
