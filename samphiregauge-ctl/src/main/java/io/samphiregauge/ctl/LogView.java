package io.samphiregauge.ctl;

import io.samphiregauge.core.log.FoldedState;
import io.samphiregauge.core.log.LogReader.ReadOutcome;
import java.util.List;

/**
 * The log as read up to its end.
 *
 * @param state folded state at the end
 * @param firstOffset oldest offset that is retained
 * @param nextOffset offset after the newest record
 * @param outcomes what became of each record that was read
 */
record LogView(FoldedState state, long firstOffset, long nextOffset, List<ReadOutcome> outcomes) {
  /** Returns the records that were read, with what became of them. */
  List<ReadOutcome.Folded> foldedRecords() {
    return outcomes.stream()
        .filter(ReadOutcome.Folded.class::isInstance)
        .map(ReadOutcome.Folded.class::cast)
        .toList();
  }
}
