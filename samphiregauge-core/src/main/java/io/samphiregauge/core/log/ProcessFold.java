package io.samphiregauge.core.log;

import static io.samphiregauge.core.log.FoldedState.NO_OFFSET;

import io.samphiregauge.core.result.Result;
import io.samphiregauge.schema.record.Ended;
import io.samphiregauge.schema.record.Incarnation;
import io.samphiregauge.schema.record.Joined;
import io.samphiregauge.schema.record.ProcessState;

/** Applies records of processes that join or end. */
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
    Incarnation target = ended.getIncarnation();
    if (!state.isLive(target)) {
      return Result.failed(new RecordFailure.WriterNotLive(target.getVm()));
    }
    ProcessState process = state.process(target.getVm()).orElseThrow();
    boolean bySelf = target.equals(writer);
    String role = "fleet/" + process.getJoined().getRegion();
    long token = ended.getToken().orElse(NO_OFFSET);
    if (!bySelf && !LeaseFold.holds(state, role, token, writer)) {
      return Result.failed(new RecordFailure.StaleToken(role, token));
    }
    return Result.success(
        state.withProcess(
            new ProcessState(target, process.getJoined(), true, process.getSequence())));
  }
}
