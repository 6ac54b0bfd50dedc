package io.samphiregauge.ctl;

import io.samphiregauge.core.log.FoldedState;
import io.samphiregauge.core.log.LogReader.ReadOutcome;
import java.util.List;

/**
 * Contents of the log as read up to its end.
 *
 * @param state state after all records are folded
 * @param firstOffset oldest retained offset
 * @param nextOffset offset after the newest record
 * @param outcomes outcome of each record that was read
 */
record LogView(FoldedState state, long firstOffset, long nextOffset, List<ReadOutcome> outcomes) {
  /** Returns the records that were folded, each with whether it was accepted. */
  List<ReadOutcome.Folded> foldedRecords() {
    return outcomes.stream()
        .filter(ReadOutcome.Folded.class::isInstance)
        .map(ReadOutcome.Folded.class::cast)
        .toList();
  }
}
