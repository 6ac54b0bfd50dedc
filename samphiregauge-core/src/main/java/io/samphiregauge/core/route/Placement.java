package io.samphiregauge.core.route;

import io.samphiregauge.core.engine.EngineView;
import java.util.Optional;

/**
 * Engines on which a request runs, with its predicted latency in milliseconds.
 *
 * @param engine engine that prefills, and also decodes if there is no decoder
 * @param decoder engine that receives the KV cache and decodes, for a split request
 * @param queueMs expected queueing delay before the prefill
 * @param firstTokenMs expected time to the first token
 * @param totalMs expected time to the last token
 * @param considered number of engines that were compared
 * @param reason reason for the choice, such as {@code split}
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
