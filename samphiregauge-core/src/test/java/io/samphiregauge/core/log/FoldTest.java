package io.samphiregauge.core.log;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiregauge.core.result.Failure;
import io.samphiregauge.schema.order.Drain;
import io.samphiregauge.schema.record.Ended;
import io.samphiregauge.schema.record.Incarnation;
import io.samphiregauge.schema.record.Joined;
import io.samphiregauge.schema.record.LeaseClaim;
import io.samphiregauge.schema.record.LeaseRelease;
import io.samphiregauge.schema.record.LeaseRenewal;
import io.samphiregauge.schema.record.OrderIntent;
import io.samphiregauge.schema.record.PieceRange;
import io.samphiregauge.schema.record.PieceRelease;
import io.samphiregauge.schema.record.PieceTable;
import io.samphiregauge.schema.record.UsageReportIntent;
import io.samphiregauge.schema.record.UsageReported;
import io.samphiregauge.schema.record.UsageSealed;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a log after which two processes both count as holder of the same lease. */
class FoldTest {
  private static final String FLEET = "fleet/luzon";
  private static final String USAGE = "usage/luzon";
  private final FoldedLog log = new FoldedLog();
  private Incarnation first;
  private Incarnation second;

  @BeforeEach
  void joinTwo() {
    first = log.join("vm1", 1);
    second = log.join("vm2", 1);
  }

  @Test
  void acceptsOnlyTheFirstOfTwoRacingClaims() {
    assertThat(log.append(first, 2, claim(FLEET, -1)).accepted()).isTrue();
    assertThat(type(log.append(second, 2, claim(FLEET, -1)))).isEqualTo("stale_claim");
    assertThat(log.state().lease(FLEET).orElseThrow().getHolder()).isEqualTo(first);
  }

  @Test
  void rejectsARenewalAfterAnotherProcessHasClaimedTheLease() {
    log.append(first, 2, claim(FLEET, -1));
    log.append(second, 2, claim(FLEET, 2));
    assertThat(type(log.append(first, 3, new LeaseRenewal(FLEET, 2L)))).isEqualTo("stale_token");
    assertThat(log.state().isCurrentToken(FLEET, 3)).isTrue();
  }

  @Test
  void rejectsAClaimThatDoesNotNameTheLastRenewal() {
    log.append(first, 2, claim(FLEET, -1));
    log.append(first, 3, new LeaseRenewal(FLEET, 2L));
    assertThat(type(log.append(second, 2, claim(FLEET, 2)))).isEqualTo("stale_claim");
  }

  @Test
  void ignoresARetriedAppendWhoseFirstResponseWasLost() {
    log.append(first, 2, claim(FLEET, -1));
    assertThat(type(log.append(first, 2, claim(FLEET, 2)))).isEqualTo("repeated_record");
  }

  @Test
  void ignoresTheRecordsOfAProcessThatWasReplacedOnItsVm() {
    log.join("vm1", 2);
    assertThat(type(log.append(first, 2, claim(FLEET, -1)))).isEqualTo("writer_not_live");
    assertThat(log.state().hasEnded(first)).isTrue();
  }

  @Test
  void rejectsAProcessOlderThanTheNewestOneOfItsVm() {
    Joined joined = new Joined("luzon", "a", "127.0.0.1:1", "127.0.0.1:2");
    Incarnation older = FoldedLog.process("vm1", 0);
    assertThat(type(log.append(older, 1, joined))).isEqualTo("writer_not_live");
  }

  @Test
  void letsOnlyTheFleetHolderRecordTheEndOfAnotherProcess() {
    assertThat(type(log.append(second, 2, new Ended(first)))).isEqualTo("stale_token");
    log.append(second, 3, claim(FLEET, -1));
    assertThat(log.append(second, 4, new Ended(first, 3L)).accepted()).isTrue();
    assertThat(log.state().hasEnded(first)).isTrue();
  }

  @Test
  void rejectsAnIntentOfAProcessThatHasReleasedItsLease() {
    log.append(first, 2, claim(FLEET, -1));
    log.append(first, 3, new LeaseRelease(FLEET, 2L));
    OrderIntent intent = new OrderIntent("e1", 2L, new Drain("test"));
    assertThat(type(log.append(first, 4, intent))).isEqualTo("stale_token");
    assertThat(log.state().openIntents()).isEmpty();
  }

  @Test
  void keepsAnIntentOpenForTheNextHolder() {
    log.append(first, 2, claim(FLEET, -1));
    log.append(first, 3, new OrderIntent("e1", 2L, new Drain("test")));
    log.append(second, 2, claim(FLEET, 2));
    assertThat(log.state().openIntents()).containsOnlyKeys(3L);
  }

  @Test
  void doesNotReassignPiecesOfALiveProcess() {
    log.append(first, 2, claim(FLEET, -1));
    log.append(first, 3, table(new PieceRange(0, 4, first), new PieceRange(4, 4, second)));
    PieceTable reassigning = table(new PieceRange(0, 6, first), new PieceRange(6, 2, second));
    assertThat(type(log.append(first, 4, reassigning))).isEqualTo("not_allowed");
    log.append(second, 2, new PieceRelease(4, 2));
    assertThat(log.append(first, 5, reassigning).accepted()).isTrue();
  }

  @Test
  void rejectsATableWithAPieceInTwoRanges() {
    log.append(first, 2, claim(FLEET, -1));
    PieceTable table = table(new PieceRange(0, 5, first), new PieceRange(4, 4, second));
    assertThat(type(log.append(first, 3, table))).isEqualTo("not_allowed");
  }

  @Test
  void keepsTheFirstSealOfAWindow() {
    log.append(first, 2, claim(USAGE, -1));
    assertThat(log.append(first, 3, seal(10)).accepted()).isTrue();
    assertThat(type(log.append(first, 4, seal(10)))).isEqualTo("not_allowed");
    log.append(first, 5, new UsageReportIntent("luzon", 10L, 2L));
    assertThat(log.append(first, 6, new UsageReported("luzon", 10L, 2L)).accepted()).isTrue();
    assertThat(log.state().windows()).isEmpty();
    assertThat(type(log.append(first, 7, seal(10)))).isEqualTo("not_allowed");
  }

  @Test
  void restoresAnEqualStateFromItsCheckpoint() {
    log.append(first, 2, claim(FLEET, -1));
    log.append(first, 3, table(new PieceRange(0, 4, first)));
    log.append(first, 4, new OrderIntent("e1", 2L, new Drain("test")));
    FoldedState restored = Fold.restore(log.state().toCheckpoint());
    assertThat(restored.toCheckpoint()).isEqualTo(log.state().toCheckpoint());
    assertThat(restored.lease(FLEET)).isEqualTo(log.state().lease(FLEET));
  }

  private static LeaseClaim claim(String role, long supersedesOffset) {
    return new LeaseClaim(role, supersedesOffset, 10_000L);
  }

  private static PieceTable table(PieceRange... ranges) {
    return new PieceTable("luzon", 2L, 1_000, List.of(ranges));
  }

  private static UsageSealed seal(long window) {
    return new UsageSealed("luzon", window, 2L, List.of(), List.of());
  }

  private static String type(FoldStep step) {
    return step.rejection().map(Failure::type).orElse("accepted");
  }
}
