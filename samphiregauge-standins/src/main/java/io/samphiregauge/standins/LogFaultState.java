package io.samphiregauge.standins;

import io.samphiregauge.schema.standin.LogFaults;

/** Faults of the log that are set over HTTP; belongs to the owner of the log's state. */
final class LogFaultState {
  /** Within the "several hundred appends a second" that the platform promises. */
  private static final int DEFAULT_APPENDS_PER_SECOND = 500;

  private boolean down;
  private int responsesToDrop;
  private int appendsToDuplicate;
  private int responseDelayMs;
  private int appendsPerSecond = DEFAULT_APPENDS_PER_SECOND;
  private int retainRecords = Integer.MAX_VALUE;
  private long retainMs = Long.MAX_VALUE;

  void update(LogFaults faults) {
    down = faults.getDown().orElse(down);
    responsesToDrop = faults.getLoseAnswers().orElse(responsesToDrop);
    appendsToDuplicate = faults.getDuplicateAppends().orElse(appendsToDuplicate);
    responseDelayMs = faults.getDelayAnswersMs().orElse(responseDelayMs);
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
  AppendFault.Effect nextAppendEffect() {
    int copies = appendsToDuplicate > 0 ? 2 : 1;
    appendsToDuplicate = Math.max(0, appendsToDuplicate - 1);
    boolean answered = responsesToDrop == 0;
    responsesToDrop = Math.max(0, responsesToDrop - 1);
    return new AppendFault.Effect(copies, answered, responseDelayMs);
  }
}
