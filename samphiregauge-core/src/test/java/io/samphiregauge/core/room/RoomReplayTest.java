package io.samphiregauge.core.room;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiregauge.core.TextHash;
import io.samphiregauge.core.room.RoomReplay.Mode;
import io.samphiregauge.schema.peer.BackendLoad;
import io.samphiregauge.schema.peer.BackendLoads;
import io.samphiregauge.schema.peer.ServiceDemand;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Replays the operators' bursts and failures through the account of room of many entries. */
class RoomReplayTest {
  private static final double MAX_REJECTED_SHARE = 0.01;
  private static final double MIN_USED_SHARE = 0.95;
  private static final long SEED = 5;
  private static final int ENTRIES = 87;

  /** By turns a lull and a burst of 1.9, every 2.8 s; later 6.7 s at 2.5 times the usual load. */
  private static double bursts(double s) {
    double usual = 0.7;
    if (s < 16.8) {
      return usual * ((int) (s / 2.8) % 2 == 0 ? 0.6 : 1.9);
    }
    return s >= 19.6 && s < 26.3 ? usual * 2.5 : usual;
  }

  private static RoomReplay holding(int servers) {
    return new RoomReplay(ENTRIES, servers, 6, 24, Mode.HOLDING, SEED);
  }

  /**
   * Guards against requests that are sent to full servers, and against requests that are held while
   * slots are free.
   */
  @ParameterizedTest
  @CsvSource({"8,4,6,24", "63,3,6,24", "87,4,6,24", "87,6,6,18", "63,8,16,48"})
  void fewRequestsAreRejectedAtTheBursts(int entries, int servers, int slots, int queue) {
    RoomReplay replay = new RoomReplay(entries, servers, slots, queue, Mode.HOLDING, SEED);
    replay.run(30_000, RoomReplayTest::bursts);
    assertThat(replay.rejectedShare()).isLessThan(MAX_REJECTED_SHARE);
    assertThat(replay.usedShare()).isGreaterThan(MIN_USED_SHARE);
    assertThat((double) replay.heldWithRoom / replay.arrivals).isLessThan(0.01);
  }

  /**
   * Guards against rejections while other servers of the service have free slots: all entries
   * choose the server that was least loaded three quarters of a second ago. Nothing is held back
   * here.
   */
  @ParameterizedTest
  @CsvSource({"87,4,6,24", "87,6,6,18", "63,8,16,48"})
  void staleLoadsDoNotFillOneServerAfterTheOther(int entries, int servers, int slots, int queue) {
    double before = rejectedBelowCapacity(entries, servers, slots, queue, Mode.UNUSED);
    double spread = rejectedBelowCapacity(entries, servers, slots, queue, Mode.SPREADING);
    assertThat(before).isGreaterThan(MAX_REJECTED_SHARE);
    assertThat(spread).isLessThan(MAX_REJECTED_SHARE / 2);
  }

  private static double rejectedBelowCapacity(
      int entries, int servers, int slots, int queue, Mode mode) {
    RoomReplay replay = new RoomReplay(entries, servers, slots, queue, mode, SEED);
    replay.servers.get(0).slowness = 1.6;
    replay.run(30_000, s -> (int) (s / 2.8) % 2 == 0 ? 0.55 : 0.8);
    return replay.rejectedShare();
  }

  /** Guards against a peer that claims all demand and all places, and so stops the service. */
  @Test
  void lyingPeerDoesNotStopTheService() {
    RoomReplay replay = holding(4);
    int service = TextHash.crc32c("checkout");
    replay.entries.get(40).claims =
        sent ->
            new BackendLoads(
                sent.getVm(),
                sent.getDomain(),
                sent.getScope(),
                replay.entries.get(0).loads.values().stream()
                    .map(load -> new BackendLoad(load.key(), 0, 1_000_000))
                    .toList(),
                List.of(),
                List.of(new ServiceDemand(service, 1_000_000)),
                List.of());
    replay.run(20_000, s -> 0.4);
    // Half of the entries' requests are at a tenth of them, which may send two a second at least.
    assertThat(replay.sends).isGreaterThan(replay.arrivals / 2);
    assertThat(replay.rejectedShare()).isLessThan(MAX_REJECTED_SHARE);
  }

  /** Guards against entries that stop, or rush, because they hear nothing from the others. */
  @Test
  void entriesServeWhileNobodyIsHeard() {
    RoomReplay replay = holding(4);
    replay.entries.forEach(entry -> entry.mute = true);
    replay.run(20_000, s -> 0.5);
    assertThat(replay.rejectedShare()).isLessThan(MAX_REJECTED_SHARE);
    assertThat((double) replay.heldWithRoom / replay.arrivals).isLessThan(0.02);
  }

  /** Guards against entries with a link cut one way, which take the places of all others. */
  @Test
  void entriesThatHearNothingLeaveRoomForTheOthers() {
    RoomReplay replay = holding(4);
    replay.entries.subList(30, 40).forEach(entry -> entry.deaf = true);
    replay.run(30_000, RoomReplayTest::bursts);
    assertThat(replay.rejectedShare()).isLessThan(MAX_REJECTED_SHARE);
    assertThat(replay.usedShare()).isGreaterThan(MIN_USED_SHARE);
  }

  /** Guards against messages whose delay makes entries send the same places to servers twice. */
  @Test
  void lateMessagesOfADomainDoNotCauseARush() {
    RoomReplay replay = holding(4);
    replay.entries.subList(0, 29).forEach(entry -> entry.messageDelayMs = 300);
    replay.run(30_000, RoomReplayTest::bursts);
    assertThat(replay.rejectedShare()).isLessThan(MAX_REJECTED_SHARE);
  }

  /** Guards against shares that are lost with the entry that held them. */
  @Test
  void placesOfKilledEntriesAreUsedWithinTwoSeconds() {
    RoomReplay replay = holding(4);
    replay.run(4_000, s -> 1.5);
    replay.entries.subList(9, 40).forEach(RoomReplay.Entry::kill);
    replay.run(2_000, s -> 1.5);
    replay.resetCounts();
    replay.run(10_000, s -> 1.5);
    assertThat(replay.usedShare()).isGreaterThan(MIN_USED_SHARE);
    assertThat(replay.rejectedShare()).isLessThan(MAX_REJECTED_SHARE);
  }

  /** Guards against places that are counted on although their servers have gone. */
  @Test
  void serversThatVanishTakeTheirPlacesWithThem() {
    RoomReplay replay = holding(6);
    replay.run(4_000, s -> 0.9);
    replay.servers.subList(0, 2).forEach(server -> server.up = false);
    replay.entries.forEach(RoomReplay.Entry::updateServers);
    long onTheWayMs = 10;
    replay.run(onTheWayMs, s -> 1.3);
    long received = replay.servers.get(0).received;
    replay.run(10_000, s -> 1.3);
    assertThat(replay.servers.get(0).received).isEqualTo(received);
    assertThat(replay.rejectedShare()).isLessThan(MAX_REJECTED_SHARE);
  }

  /** Guards against a server that attracts requests because it rejects all and so has no load. */
  @Test
  void serverThatRejectsWithRoomIsLeftAlone() {
    RoomReplay replay = holding(4);
    replay.servers.get(0).rejectsAll = true;
    replay.run(5_000, s -> 0.5);
    long received = replay.servers.get(0).received;
    replay.resetCounts();
    replay.run(10_000, s -> 0.5);
    // An entry tries it again once in 3.2 s at most.
    assertThat(replay.servers.get(0).received - received).isLessThan(ENTRIES * 10 / 3);
    assertThat((double) replay.heldWithRoom / replay.arrivals).isLessThan(0.05);
  }
}
