package io.samphiregauge.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiregauge.core.result.Result;
import io.samphiregauge.gateway.port.ReadResult;
import io.samphiregauge.gateway.port.SharedStore;
import io.samphiregauge.gateway.port.StoreRecord;
import io.samphiregauge.gateway.port.Topic;
import io.samphiregauge.net.NetFailure;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class TopicFollowerTest {
  private static final long PERIOD_MS = 1_000;

  private final SimulatedTime time = new SimulatedTime();
  private final List<StoreRecord> topic = new ArrayList<>();
  private final List<String> seen = new ArrayList<>();
  private long era;

  /**
   * Guards against changes that are skipped: a restored store assigns the offsets again that the
   * follower has read, so a read from its offset yields only later records.
   */
  @Test
  void restoredTopicIsReadFromTheStart() {
    append("a", "b", "c", "d", "e");
    SimulatedTime.Vm vm = time.newVm();
    ControlThread control = vm.newControlThread();
    new TopicFollower(
            control,
            store(),
            Topic.CONFIG,
            new TopicFollower.PollTiming(() -> 0, () -> PERIOD_MS),
            (records, asOf) -> addSeen(records),
            (records, asOf) -> addSeen(records))
        .start();
    time.run(2 * PERIOD_MS);
    assertThat(seen).contains("a", "e");
    topic.subList(3, 5).clear();
    era++;
    append("draining-x", "gone-y", "new-z");
    time.run(3 * PERIOD_MS);
    assertThat(seen).contains("draining-x", "gone-y", "new-z");
  }

  private void append(String... keys) {
    for (String key : keys) {
      topic.add(new StoreRecord(key, Optional.of(new byte[] {1})));
    }
  }

  private void addSeen(List<StoreRecord> records) {
    records.forEach(record -> seen.add(record.key()));
  }

  private SharedStore store() {
    return new SharedStore(
        any ->
            CompletableFuture.completedFuture(
                Result.success(new ReadResult.Records(List.copyOf(topic), topic.size(), era))),
        (any, fromOffset, waitMs) ->
            CompletableFuture.completedFuture(Result.success(tail((int) fromOffset))),
        (any, record, end) -> unused(),
        (any, records, end) -> unused(),
        (member, generation) -> unused(),
        member -> unused(),
        TopicFollowerTest::unused);
  }

  private ReadResult tail(int fromOffset) {
    int from = Math.min(fromOffset, topic.size());
    return new ReadResult.Records(
        List.copyOf(topic.subList(from, topic.size())), topic.size(), era);
  }

  private static <T> CompletableFuture<Result<T>> unused() {
    return CompletableFuture.completedFuture(Result.failed(new NetFailure.Withheld("store")));
  }
}
