package io.samphiregauge.core.log;

import static io.samphiregauge.core.log.FoldedState.NO_OFFSET;

import io.samphiregauge.core.result.Result;
import io.samphiregauge.schema.record.Ended;
import io.samphiregauge.schema.record.Incarnation;
import io.samphiregauge.schema.record.Joined;
import io.samphiregauge.schema.record.ProcessState;

/** Folds the starts and ends of processes. */
final class ProcessFold {
  private ProcessFold() {}

  static Result<FoldedState> join(
      FoldedState state, Incarnation writer, long sequence, Joined joined) {
    long newestStartMs =
        state
            .process(writer.getVm())
            .map(process -> process.getIncarnation().getStartMs())
            .orElse(Long.MIN_VALUE);
    if (writer.getStartMs() <= newestStartMs) {
      return Result.failed(new RecordFailure.WriterNotLive(writer.getVm()));
    }
    return Result.success(state.withProcess(new ProcessState(writer, joined, false, sequence)));
  }

  static Result<FoldedState> end(FoldedState state, Incarnation writer, Ended ended) {
    Incarnation gone = ended.getIncarnation();
    if (!state.isLive(gone)) {
      return Result.failed(new RecordFailure.WriterNotLive(gone.getVm()));
    }
    ProcessState process = state.process(gone.getVm()).orElseThrow();
    boolean bySelf = gone.equals(writer);
    String role = "fleet/" + process.getJoined().getRegion();
    long token = ended.getToken().orElse(NO_OFFSET);
    if (!bySelf && !LeaseFold.holds(state, role, token, writer)) {
      return Result.failed(new RecordFailure.StaleToken(role, token));
    }
    return Result.success(
        state.withProcess(
            new ProcessState(gone, process.getJoined(), true, process.getSequence())));
  }
}
