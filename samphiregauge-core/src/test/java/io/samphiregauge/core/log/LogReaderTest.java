package io.samphiregauge.core.log;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.schema.RecordBody;
import io.samphiregauge.schema.peer.RecordAt;
import io.samphiregauge.schema.platform.RecordsPage;
import io.samphiregauge.schema.record.Checkpoint;
import io.samphiregauge.schema.record.Incarnation;
import io.samphiregauge.schema.record.Joined;
import io.samphiregauge.schema.record.LeaseClaim;
import io.samphiregauge.schema.record.LogRecord;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against a state that moves backwards, and against a state that lacks records. */
class LogReaderTest {
  private static final Incarnation VM1 = new Incarnation("vm1", 1L, 1L);

  private static RecordAt recordAt(long offset, RecordBody body) {
    return new RecordAt(offset, new LogRecord(VM1, offset + 1, body));
  }

  private static List<RecordAt> log() {
    List<RecordAt> records = new ArrayList<>();
    records.add(recordAt(0, new Joined("luzon", "a", "127.0.0.1:1", "127.0.0.1:2")));
    records.add(recordAt(1, new LeaseClaim("fleet/luzon", -1L, 10_000L)));
    records.add(recordAt(2, new LeaseClaim("usage/luzon", -1L, 10_000L)));
    FoldedState state = LogReader.atStart().read(page(0, 3, records)).state().state();
    records.add(recordAt(3, state.toCheckpoint()));
    records.add(recordAt(4, new LeaseClaim("fleet/luzon", 1L, 10_000L)));
    return records;
  }

  private static RecordsPage page(long first, long next, List<RecordAt> records) {
    return new RecordsPage(first, next, records);
  }

  @Test
  void startingAtACheckpointYieldsTheSameStateAsReadingTheWholeLog() {
    List<RecordAt> log = log();
    LogReader whole = LogReader.atStart().read(page(0, 5, log)).state();
    LogReader positioned = LogReader.atStart().read(page(3, 5, log.subList(3, 5))).state();
    assertThat(positioned.nextOffset()).isEqualTo(3);
    LogReader caughtUp = positioned.read(page(3, 5, log.subList(3, 5))).state();
    assertThat(caughtUp.state().toCheckpoint()).isEqualTo(whole.state().toCheckpoint());
  }

  @Test
  void keepsSeekingWithoutACheckpointAndIsNotCaughtUp() {
    RecordsPage rest = page(4, 5, log().subList(4, 5));
    LogReader seeking = LogReader.atStart().read(rest).state();
    assertThat(seeking.state().upToOffset()).isEqualTo(FoldedState.NO_OFFSET);
    assertThat(seeking.isCaughtUp(rest)).isFalse();
    assertThat(seeking.nextOffset()).isEqualTo(5);
  }

  @Test
  void ignoresACheckpointThatLeavesAGap() {
    List<RecordAt> log = log();
    Checkpoint old = ((Checkpoint) log.get(3).getRecord().getBody());
    RecordsPage gap = page(10, 11, List.of(new RecordAt(10L, new LogRecord(VM1, 9L, old))));
    LogReader seeking = LogReader.atStart().read(gap).state();
    assertThat(seeking.state().upToOffset()).isEqualTo(FoldedState.NO_OFFSET);
  }

  @Test
  void rejectsACheckpointThatIsNotNewer() {
    List<RecordAt> log = log();
    LogReader whole = LogReader.atStart().read(page(0, 5, log)).state();
    var rejected = whole.restore((Checkpoint) log.get(3).getRecord().getBody());
    assertThat(rejected.failure()).contains(new LogReader.OldSnapshot(2, 4));
  }

  @Test
  void doesNotFoldRelayedRecordsAfterAGap() {
    LogReader start = LogReader.atStart();
    assertThat(start.readRelayed(0, log().subList(1, 2)).state()).isEqualTo(start);
  }

  @Test
  void checkpointIsDueOnceAfterHalfTheRetention() {
    FoldedState state = LogReader.atStart().read(page(0, 5, log())).state().state();
    assertThat(CheckpointSchedule.withRetention(12).due(state)).isEmpty();
    CheckpointSchedule plan = CheckpointSchedule.withRetention(8);
    assertThat(plan.due(state)).contains(state.toCheckpoint());
    assertThat(plan.onSubmitted().due(state)).isEmpty();
    assertThat(plan.onSubmitted().onRead(state.toCheckpoint(), true).due(state)).isEmpty();
  }

  private static DualTimestamp at(long monotonicMs) {
    return new DualTimestamp(monotonicMs, 1_000_000 + monotonicMs);
  }

  /** Guards against an entry that serves withdrawn keys because its monotonic clock stood still. */
  @Test
  void contactsAgeWhileTheVmIsSuspended() {
    Freshness contact = Freshness.none().withOwnContact(at(1_000)).withPeerContact(at(1_000), 0);
    DualTimestamp resumedAt = new DualTimestamp(1_010, at(1_010).wallMs() + 60_000);
    assertThat(contact.isFresh(at(1_010))).isTrue();
    assertThat(contact.isFresh(resumedAt)).isFalse();
    assertThat(contact.withOutage(at(1_000)).isFenced(resumedAt)).isTrue();
    assertThat(contact.withOwnContact(resumedAt).isFresh(resumedAt)).isTrue();
  }

  @Test
  void anEntryIsFreshForThreeSecondsAndFencedAfterTen() {
    Freshness contact = Freshness.none().withOwnContact(at(1_000));
    assertThat(Freshness.none().isFresh(at(0))).isFalse();
    assertThat(contact.isFresh(at(4_000))).isTrue();
    assertThat(contact.isFresh(at(4_001))).isFalse();
    assertThat(contact.isFenced(at(10_999))).isFalse();
    assertThat(contact.isFenced(at(11_000))).isTrue();
    assertThat(contact.withPeerContact(at(5_000), 2_000).isFresh(at(6_001))).isFalse();
  }

  /**
   * Guards against a majority that is partitioned from the log and keeps accepting a withdrawn key:
   * without log contact, it cannot know which records the log has accepted since.
   */
  @Test
  void outageReportsKeepAnEntryUnfencedButNotFresh() {
    Freshness contact = Freshness.none().withOwnContact(at(1_000)).withOutage(at(12_000));
    assertThat(contact.isFresh(at(12_000))).isFalse();
    assertThat(contact.isFenced(at(12_000))).isFalse();
  }
}
