package io.samphiregauge.standins;

import io.samphiregauge.schema.standin.LogFaults;

/** Faults of the log that are set over HTTP; belongs to the owner of the log's state. */
final class LogSwitches {
  /** Within the "several hundred appends a second" that the platform promises. */
  private static final int DEFAULT_APPENDS_PER_SECOND = 500;

  private boolean down;
  private int loseAnswers;
  private int duplicateAppends;
  private int delayAnswersMs;
  private int appendsPerSecond = DEFAULT_APPENDS_PER_SECOND;
  private int retainRecords = Integer.MAX_VALUE;
  private long retainMs = Long.MAX_VALUE;

  void set(LogFaults faults) {
    down = faults.getDown().orElse(down);
    loseAnswers = faults.getLoseAnswers().orElse(loseAnswers);
    duplicateAppends = faults.getDuplicateAppends().orElse(duplicateAppends);
    delayAnswersMs = faults.getDelayAnswersMs().orElse(delayAnswersMs);
    appendsPerSecond = faults.getAppendsPerSecond().orElse(appendsPerSecond);
    retainRecords = faults.getRetainRecords().orElse(retainRecords);
    retainMs = faults.getRetainMs().orElse(retainMs);
  }

  boolean isDown() {
    return down;
  }

  int appendsPerSecond() {
    return appendsPerSecond;
  }

  int retainRecords() {
    return retainRecords;
  }

  long retainMs() {
    return retainMs;
  }

  /** Applies the counted faults to one append and counts them down. */
  AppendFault.Effect next() {
    int copies = duplicateAppends > 0 ? 2 : 1;
    duplicateAppends = Math.max(0, duplicateAppends - 1);
    boolean answered = loseAnswers == 0;
    loseAnswers = Math.max(0, loseAnswers - 1);
    return new AppendFault.Effect(copies, answered, delayAnswersMs);
  }
}
