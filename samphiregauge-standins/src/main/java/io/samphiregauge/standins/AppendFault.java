package io.samphiregauge.standins;

import io.samphiregauge.schema.record.LogRecord;

/** Injects faults into appends to a {@link LogStandin}. */
@FunctionalInterface
public interface AppendFault {
  /**
   * Outcome of one append.
   *
   * @param copies number of copies stored; 0 rejects the append with status 503
   * @param sendsResponse whether the response is sent; if not, the connection is reset
   * @param delayMs milliseconds between storing the record and the response or reset
   */
  record Effect(int copies, boolean sendsResponse, int delayMs) {
    /** Stores one copy and responds without delay. */
    public static final Effect NONE = new Effect(1, true, 0);
  }

  /**
   * Returns the outcome of one append. The log calls this on its state event loop.
   *
   * @param record record to append
   * @return the outcome to apply
   */
  Effect effectFor(LogRecord record);
}
