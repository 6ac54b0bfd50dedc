package io.samphiregauge.core.room;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Replays the bursts of the operators' sheets through the account of room of many entries. */
class RoomReplayTest {
  private static final double MAX_REJECTED_SHARE = 0.01;
  private static final double MIN_USED_SHARE = 0.95;
  private static final long SEED = 5;

  /** By turns a burst of 1.9 and a lull, every 2.8 s; then 6.7 s at 2.5 times the usual load. */
  private static double bursts(double s) {
    double usual = 0.7;
    if (s < 16.8) {
      return usual * ((int) (s / 2.8) % 2 == 0 ? 0.6 : 1.9);
    }
    return s >= 19.6 && s < 26.3 ? usual * 2.5 : usual;
  }

  private static RoomReplay replay(
      int entries, int servers, int slots, int queue, boolean sharing) {
    return new RoomReplay(entries, servers, slots, queue, sharing, SEED);
  }

  /** Guards against requests that are sent to servers that must reject them. */
  @ParameterizedTest
  @CsvSource({"8,4,6,24", "63,3,6,24", "87,4,6,24", "87,6,6,18", "63,8,16,48"})
  void fewRequestsAreRejectedAtTheBursts(int entries, int servers, int slots, int queue) {
    RoomReplay replay = replay(entries, servers, slots, queue, true);
    replay.run(30_000, RoomReplayTest::bursts);
    System.out.printf(
        "sharing %d/%d: rejected %.4f used %.4f heldWithRoom %d of %d%n",
        entries,
        servers,
        replay.rejectedShare(),
        replay.usedShare(),
        replay.heldWithRoom,
        replay.arrivals);
    RoomReplay before = replay(entries, servers, slots, queue, false);
    before.run(30_000, RoomReplayTest::bursts);
    System.out.printf(
        "before  %d/%d: rejected %.4f used %.4f%n",
        entries, servers, before.rejectedShare(), before.usedShare());
    assertThat(replay.rejectedShare()).isLessThan(MAX_REJECTED_SHARE);
    assertThat(replay.usedShare()).isGreaterThan(MIN_USED_SHARE);
    assertThat(before.rejectedShare()).isGreaterThan(MAX_REJECTED_SHARE);
  }
}
