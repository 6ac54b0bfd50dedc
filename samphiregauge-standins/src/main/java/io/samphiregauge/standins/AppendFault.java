package io.samphiregauge.standins;

import io.samphiregauge.schema.record.LogRecord;

/** Decides what happens to an append. */
@FunctionalInterface
public interface AppendFault {
  /**
   * What happens to one append.
   *
   * @param copies how often the record is stored; 0 refuses the append
   * @param sendsResponse whether the answer arrives
   * @param delayMs time between the effect and the answer
   */
  record Effect(int copies, boolean sendsResponse, int delayMs) {
    /** Effect of an append that meets no fault. */
    public static final Effect NONE = new Effect(1, true, 0);
  }

  /**
   * Decides on one append.
   *
   * @param record the record
   * @return what happens to it
   */
  Effect effectFor(LogRecord record);
}
