package io.samphiregauge.core.log;

import io.samphiregauge.schema.RecordBody;
import io.samphiregauge.schema.record.Incarnation;
import io.samphiregauge.schema.record.Joined;
import io.samphiregauge.schema.record.LogRecord;

/** Folds records at consecutive offsets into a state, without storing the records. */
final class FoldedLog {
  private FoldedState state = FoldedState.empty();

  static Incarnation process(String vm, long startMs) {
    return new Incarnation(vm, startMs, 7L);
  }

  Incarnation join(String vm, long startMs) {
    Incarnation process = process(vm, startMs);
    append(process, 1, new Joined("luzon", "a", "127.0.0.1:1", "127.0.0.1:2"));
    return process;
  }

  FoldStep append(Incarnation writer, long sequence, RecordBody body) {
    FoldStep step =
        Fold.apply(state, state.upToOffset() + 1, new LogRecord(writer, sequence, body));
    state = step.state();
    return step;
  }

  FoldedState state() {
    return state;
  }
}
