package io.samphiregauge.standins;

import io.samphiregauge.schema.standin.EngineFaults;
import java.util.Optional;

/**
 * Holds the faults configured for the engine stand-in, over HTTP or by a test. Accessed only on the
 * event loop that owns the engine's state.
 */
final class EngineFaultState {
  private Optional<String> crashMarker = Optional.empty();
  private int restartMs;
  private int loadReportLagMs;
  private int orderResponsesToDrop;

  /** Overrides the faults that are present in the message and keeps the others. */
  void update(EngineFaults faults) {
    crashMarker = faults.getCrashMarker().or(() -> crashMarker).filter(marker -> !marker.isEmpty());
    restartMs = faults.getRestartMs().orElse(restartMs);
    loadReportLagMs = faults.getLoadReportLagMs().orElse(loadReportLagMs);
    orderResponsesToDrop = faults.getLoseOrderAnswers().orElse(orderResponsesToDrop);
  }

  /** Returns whether a request body contains the configured crash marker. */
  boolean crashesOn(String body) {
    return crashMarker.filter(body::contains).isPresent();
  }

  int restartMs() {
    return restartMs;
  }

  int loadReportLagMs() {
    return loadReportLagMs;
  }

  /** Returns whether to drop the response to an order, and decrements the remaining count. */
  boolean consumeDroppedOrderResponse() {
    boolean dropped = orderResponsesToDrop > 0;
    orderResponsesToDrop = Math.max(0, orderResponsesToDrop - 1);
    return dropped;
  }
}
