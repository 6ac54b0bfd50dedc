package io.samphiregauge.verify;

import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A simulated request to a model engine; shared by all attempts of its caller.
 *
 * @param fingerprint fingerprint of the request
 * @param crashes whether the request crashes every engine that runs it
 * @param exempt whether the invariants on crashes do not apply to the request. Set once its caller
 *     may repeat it before all entries have acknowledged a crash: when the entry terminates without
 *     a response, or responds without all acknowledgements.
 */
record EngineCall(String fingerprint, boolean crashes, AtomicBoolean exempt) {
  boolean isExempt() {
    return exempt.get();
  }
}
