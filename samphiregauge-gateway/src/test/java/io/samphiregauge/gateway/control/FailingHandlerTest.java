package io.samphiregauge.gateway.control;

import static java.util.concurrent.TimeUnit.SECONDS;
import static org.assertj.core.api.Assertions.assertThat;

import io.samphiregauge.core.result.Result;
import io.samphiregauge.gateway.port.ReadResult;
import io.samphiregauge.gateway.port.SharedStore;
import io.samphiregauge.gateway.port.StoreRecord;
import io.samphiregauge.gateway.port.Topic;
import io.samphiregauge.net.Codec;
import io.samphiregauge.schema.gateway.CrashRecord;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Records whose handler throws; the follower of their topic must go on with the next ones. */
@Timeout(30)
class FailingHandlerTest {
  private final ControlThread control = new ControlThread();
  private final BlockingQueue<String> handled = new LinkedBlockingQueue<>();
  private final BlockingQueue<Long> readOffsets = new LinkedBlockingQueue<>();

  @AfterEach
  void stop() {
    control.close();
  }

  private static StoreRecord record(String key, byte[] value) {
    return new StoreRecord(key, Optional.of(value));
  }

  /** Returns a store whose topics hold the records "bad", "1", "2" and so on. */
  private SharedStore store(byte[] value) {
    return new SharedStore(
        topic ->
            CompletableFuture.completedFuture(
                Result.success(new ReadResult.Records(List.of(record("bad", value)), 1))),
        (topic, offset, waitMs) -> {
          readOffsets.add(offset);
          String key = offset <= 1 ? "bad" : Long.toString(offset);
          return CompletableFuture.completedFuture(
              Result.success(new ReadResult.Records(List.of(record(key, value)), offset + 1)));
        },
        (topic, record, offset) -> new CompletableFuture<>(),
        (topic, records, offset) -> new CompletableFuture<>(),
        (member, generation) -> new CompletableFuture<>(),
        member -> new CompletableFuture<>(),
        CompletableFuture::new);
  }

  private void handle(String key) {
    if (key.equals("bad")) {
      throw new IllegalArgumentException("cannot handle this record");
    }
    handled.add(key);
  }

  /** Guards against a topic that is followed no more after one record, or read again for ever. */
  @Test
  void topicFollowerContinuesAfterAHandlerThatThrows() throws InterruptedException {
    TopicFollower follower =
        new TopicFollower(
            control,
            store(new byte[0]),
            Topic.BACKENDS,
            new TopicFollower.PollTiming(() -> 0, () -> 10),
            (records, requestedAt) -> records.forEach(record -> handle(record.key())),
            (records, requestedAt) -> records.forEach(record -> handle(record.key())));
    control.post(follower::start);
    assertThat(handled.poll(10, SECONDS)).isEqualTo("2");
    assertThat(handled.poll(10, SECONDS)).isEqualTo("3");
    assertThat(readOffsets).startsWith(1L, 2L, 3L);
  }

  /** Guards against crash records that are read no more after one of them. */
  @Test
  void crashFollowerContinuesAfterAHandlerThatThrows() throws InterruptedException {
    byte[] crash = Codec.json().encode(new CrashRecord("backend", List.of(List.of("digest"))));
    CrashFollower follower = new CrashFollower(control, store(crash), () -> 1, () -> false);
    control.post(
        () ->
            follower.start(
                record -> {
                  handle(handled.isEmpty() && readOffsets.size() == 1 ? "bad" : "next");
                }));
    assertThat(handled.poll(10, SECONDS)).isEqualTo("next");
    assertThat(readOffsets).startsWith(0L, 1L);
  }
}
