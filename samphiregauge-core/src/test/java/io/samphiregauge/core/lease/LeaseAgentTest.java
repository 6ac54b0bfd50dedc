package io.samphiregauge.core.lease;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.Step;
import io.samphiregauge.schema.RecordBody;
import io.samphiregauge.schema.record.Incarnation;
import io.samphiregauge.schema.record.LeaseClaim;
import io.samphiregauge.schema.record.LeaseRenewal;
import io.samphiregauge.schema.record.LogRecord;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against leases that are used too long or claimed too early because of one clock. */
class LeaseAgentTest {
  private static final String ROLE = "fleet/luzon";
  private static final Incarnation SELF = new Incarnation("vm1", 1L, 1L);
  private static final Incarnation OTHER = new Incarnation("vm2", 1L, 1L);
  private static final long TOKEN = 5;
  private static final DualTimestamp CLAIM_SENT_AT = new DualTimestamp(1_000, 800_000);

  private static DualTimestamp after(long monotonicMs, long wallMs) {
    return new DualTimestamp(
        CLAIM_SENT_AT.monotonicMs() + monotonicMs, CLAIM_SENT_AT.wallMs() + wallMs);
  }

  private static LeaseEvent read(
      long offset, Incarnation writer, RecordBody body, Optional<DualTimestamp> firstSentAt) {
    return new LeaseEvent.Read(offset, new LogRecord(writer, offset, body), true, firstSentAt);
  }

  private static LeaseAgent candidate() {
    return LeaseAgent.of(ROLE, SELF)
        .handle(new LeaseEvent.Candidacy(true, 0), CLAIM_SENT_AT)
        .state();
  }

  private static LeaseAgent holder() {
    LeaseClaim claim = new LeaseClaim(ROLE, -1L, LeaseTimes.DURATION_MS);
    return candidate()
        .handle(read(TOKEN, SELF, claim, Optional.of(CLAIM_SENT_AT)), after(50, 50))
        .state();
  }

  /** Guards against the use of a lease that ended while the VM of its holder was suspended. */
  @Test
  void leaseEndsIfTheWallClockAdvancedFurtherThanTheMonotonicClock() {
    assertThat(holder().mayAct(after(2_000, 2_000))).isTrue();
    assertThat(holder().mayAct(after(2_000, 22_000))).isFalse();
    Step<LeaseAgent, LeaseAction> resumed =
        holder().handle(new LeaseEvent.Tick(), after(2_000, 22_000));
    assertThat(resumed.actions())
        .containsExactly(
            new LeaseAction.Lost(TOKEN), new LeaseAction.Write(new LeaseRenewal(ROLE, TOKEN)));
  }

  /** Guards against a renewal that was stored before the suspension and is read after it. */
  @Test
  void renewalSentBeforeASuspensionIsNotValidAfterIt() {
    LeaseEvent renewal =
        read(TOKEN + 1, SELF, new LeaseRenewal(ROLE, TOKEN), Optional.of(after(3_000, 3_000)));
    assertThat(holder().handle(renewal, after(3_100, 3_100)).state().mayAct(after(3_200, 3_200)))
        .isTrue();
    assertThat(holder().handle(renewal, after(3_100, 23_100)).state().mayAct(after(3_200, 23_200)))
        .isFalse();
  }

  /** Guards against the use of a lease whose holder's wall clock was set back while suspended. */
  @Test
  void leaseEndsIfTheWallClockWasSetBack() {
    assertThat(holder().mayAct(after(2_000, -60_000))).isFalse();
  }

  /** Guards against a claim before the end of another process's lease. */
  @Test
  void claimWaitsOnTheMonotonicClockWhenTheWallClockIsSetForward() {
    LeaseClaim claim = new LeaseClaim(ROLE, -1L, LeaseTimes.DURATION_MS);
    LeaseAgent waiting =
        LeaseAgent.of(ROLE, SELF)
            .handle(read(TOKEN, OTHER, claim, Optional.empty()), after(0, 0))
            .state()
            .handle(new LeaseEvent.Candidacy(true, 0), after(0, 0))
            .state();
    long waitMs = LeaseTimes.claimantWaitMs(LeaseTimes.DURATION_MS);
    assertThat(waiting.handle(new LeaseEvent.Tick(), after(waitMs - 1, 60_000)).actions())
        .isEmpty();
    assertThat(waiting.handle(new LeaseEvent.Tick(), after(waitMs, 0)).actions()).hasSize(1);
  }
}
