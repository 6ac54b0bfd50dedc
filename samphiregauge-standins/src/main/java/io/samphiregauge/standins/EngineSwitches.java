package io.samphiregauge.standins;

import io.samphiregauge.schema.standin.EngineFaults;
import java.util.Optional;

/** Faults of the engine that are set over HTTP; belongs to the owner of the engine's state. */
final class EngineSwitches {
  private Optional<String> crashMarker = Optional.empty();
  private int restartMs;
  private int loadReportLagMs;
  private int loseOrderAnswers;

  void set(EngineFaults faults) {
    crashMarker = faults.getCrashMarker().or(() -> crashMarker).filter(text -> !text.isEmpty());
    restartMs = faults.getRestartMs().orElse(restartMs);
    loadReportLagMs = faults.getLoadReportLagMs().orElse(loadReportLagMs);
    loseOrderAnswers = faults.getLoseOrderAnswers().orElse(loseOrderAnswers);
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

  boolean takeLostOrderAnswer() {
    boolean lost = loseOrderAnswers > 0;
    loseOrderAnswers = Math.max(0, loseOrderAnswers - 1);
    return lost;
  }
}
