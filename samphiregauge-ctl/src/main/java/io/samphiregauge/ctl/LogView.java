package io.samphiregauge.ctl;

import io.samphiregauge.core.log.FoldedState;
import io.samphiregauge.core.log.LogReader.Read;
import java.util.List;

/**
 * The log as read up to its end.
 *
 * @param state folded state at the end
 * @param firstOffset oldest offset that is retained
 * @param nextOffset offset after the newest record
 * @param reads what became of each record that was read
 */
record LogView(FoldedState state, long firstOffset, long nextOffset, List<Read> reads) {
  /** Returns the records that were read, with what became of them. */
  List<Read.Folded> folded() {
    return reads.stream()
        .filter(Read.Folded.class::isInstance)
        .map(Read.Folded.class::cast)
        .toList();
  }
}
