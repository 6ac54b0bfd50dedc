package io.samphiregauge.standins;

import io.samphiregauge.schema.standin.LogFaults;

/**
 * Holds the faults configured for the log stand-in, over HTTP or by a test. Accessed only on the
 * event loop that owns the log's state.
 */
final class LogFaultState {
  /** The platform guarantees "several hundred appends a second"; 500 is within that range. */
  private static final int DEFAULT_APPENDS_PER_SECOND = 500;

  private boolean down;
  private int responsesToDrop;
  private int appendsToDuplicate;
  private int responseDelayMs;
  private int appendsPerSecond = DEFAULT_APPENDS_PER_SECOND;
  private int retainRecords = Integer.MAX_VALUE;
  private long retainMs = Long.MAX_VALUE;

  /** Overrides the faults that are present in the message and keeps the others. */
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

  /**
   * Returns the configured outcome of the next append, and decrements the remaining fault counts.
   */
  AppendFault.Effect nextAppendEffect() {
    int copies = appendsToDuplicate > 0 ? 2 : 1;
    appendsToDuplicate = Math.max(0, appendsToDuplicate - 1);
    boolean sendsResponse = responsesToDrop == 0;
    responsesToDrop = Math.max(0, responsesToDrop - 1);
    return new AppendFault.Effect(copies, sendsResponse, responseDelayMs);
  }
}
