package io.samphiregauge.verify;

import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A request to a model engine.
 *
 * @param fingerprint its fingerprint
 * @param crashes whether it crashes each engine that runs it
 * @param exempt set once the caller sent it again without an answer that all entries knew of
 */
record EngineCall(String fingerprint, boolean crashes, AtomicBoolean exempt) {
  boolean isExempt() {
    return exempt.get();
  }
}
