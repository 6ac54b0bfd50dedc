package io.samphiregauge.verify;

import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A simulated request to a model engine; shared by all attempts of its caller.
 *
 * @param fingerprint fingerprint of the request
 * @param crashes whether the request crashes every engine that runs it
 * @param exempt set when the invariants on crashes no longer apply to the request, because its
 *     caller may repeat it before all entries have acknowledged a crash: its entry terminated
 *     without a response, or responded without all acknowledgements
 */
record EngineCall(String fingerprint, boolean crashes, AtomicBoolean exempt) {
  boolean isExempt() {
    return exempt.get();
  }
}
