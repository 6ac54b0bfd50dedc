package io.samphiregauge.core.member;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiregauge.core.Step;
import io.samphiregauge.core.log.Fold;
import io.samphiregauge.core.log.FoldedState;
import io.samphiregauge.schema.RecordBody;
import io.samphiregauge.schema.peer.Member;
import io.samphiregauge.schema.peer.MemberState;
import io.samphiregauge.schema.peer.Probe;
import io.samphiregauge.schema.record.Ended;
import io.samphiregauge.schema.record.Incarnation;
import io.samphiregauge.schema.record.Joined;
import io.samphiregauge.schema.record.LeaseClaim;
import io.samphiregauge.schema.record.LogRecord;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** Guards against dead processes that are never recorded as ended, and live ones that are. */
class EndedProcessDetectorTest {
  private static final String REGION = "luzon";
  private static final Incarnation SELF = new Incarnation("a", 1, 1);
  private static final Incarnation ALIVE = new Incarnation("b", 1, 1);
  private static final Incarnation UNKNOWN = new Incarnation("c", 1, 1);

  private FoldedState state = FoldedState.empty();
  private EndedProcessDetector detector = EndedProcessDetector.initial();
  private final Membership members =
      Membership.of(member(SELF), List.of(), 0)
          .handle(new MemberEvent.Received(new Probe(1, member(ALIVE), List.of())), 0, () -> 0)
          .state();

  /** Guards against a process that is dead but never recorded as ended. */
  @Test
  void recordsTheEndOfAProcessThatStaysUnreachable() {
    joinAll();
    assertThat(detect(0)).isEmpty();
    assertThat(detect(19_999)).isEmpty();
    assertThat(detect(20_000)).extracting(Ended::getIncarnation).containsExactly(UNKNOWN);
  }

  /**
   * Guards against ending a lease holder that gossip still reports dead after a partition has
   * healed, although it writes records. Found by seed 408 of the fault schedules.
   */
  @Test
  void aNewRecordRestartsTheConfirmationTime() {
    joinAll();
    detect(0);
    append(UNKNOWN, 2, new LeaseClaim("fleet/luzon", -1, 10_000));
    assertThat(detect(15_000)).isEmpty();
    assertThat(detect(34_999)).isEmpty();
    assertThat(detect(35_000)).extracting(Ended::getIncarnation).containsExactly(UNKNOWN);
  }

  private void joinAll() {
    for (Incarnation process : List.of(SELF, ALIVE, UNKNOWN)) {
      append(process, 1, new Joined(REGION, "d1", address(process), address(process)));
    }
  }

  private void append(Incarnation writer, long sequence, RecordBody body) {
    LogRecord record = new LogRecord(writer, sequence, body);
    state = Fold.apply(state, state.upToOffset() + 1, record).state();
  }

  private List<Ended> detect(long nowMs) {
    Step<EndedProcessDetector, Ended> step =
        detector.detect(state, REGION, members, OptionalLong.of(9), nowMs);
    detector = step.state();
    return step.actions();
  }

  private static String address(Incarnation process) {
    return process.getVm() + ":1";
  }

  private static Member member(Incarnation process) {
    return new Member(
        process, REGION, "d1", address(process), address(process), MemberState.ALIVE, 0, -1, -1);
  }
}
