package io.samphiregauge.core.route;

import io.samphiregauge.core.engine.EngineView;
import java.util.Optional;

/**
 * Where a request runs, and what is expected of it.
 *
 * @param engine engine that computes the prompt, and decodes unless another one does
 * @param decoder engine that takes over the KV cache and decodes, for a split request
 * @param queueMs expected wait before the prompt is computed
 * @param firstTokenMs expected time to the first token
 * @param totalMs expected time to the last token
 * @param considered number of engines compared
 * @param reason the property that decided, such as {@code split}
 */
public record Placement(
    EngineView engine,
    Optional<EngineView> decoder,
    double queueMs,
    double firstTokenMs,
    double totalMs,
    int considered,
    String reason) {
  /** Returns the engine that decodes. */
  public EngineView decodeEngine() {
    return decoder.orElse(engine);
  }
}
