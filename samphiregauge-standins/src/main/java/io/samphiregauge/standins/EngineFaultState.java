package io.samphiregauge.standins;

import io.samphiregauge.schema.standin.EngineFaults;
import java.util.Optional;

/** Faults of the engine that are set over HTTP; belongs to the owner of the engine's state. */
final class EngineFaultState {
  private Optional<String> crashMarker = Optional.empty();
  private int restartMs;
  private int loadReportLagMs;
  private int orderResponsesToDrop;

  void update(EngineFaults faults) {
    crashMarker = faults.getCrashMarker().or(() -> crashMarker).filter(text -> !text.isEmpty());
    restartMs = faults.getRestartMs().orElse(restartMs);
    loadReportLagMs = faults.getLoadReportLagMs().orElse(loadReportLagMs);
    orderResponsesToDrop = faults.getLoseOrderAnswers().orElse(orderResponsesToDrop);
  }

  boolean crashesOn(String body) {
    return crashMarker.filter(body::contains).isPresent();
  }

  int restartMs() {
    return restartMs;
  }

  int loadReportLagMs() {
    return loadReportLagMs;
  }

  boolean consumeDroppedOrderResponse() {
    boolean lost = orderResponsesToDrop > 0;
    orderResponsesToDrop = Math.max(0, orderResponsesToDrop - 1);
    return lost;
  }
}
