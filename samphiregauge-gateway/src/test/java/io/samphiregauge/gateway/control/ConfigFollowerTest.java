package io.samphiregauge.gateway.control;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.core.site.SiteConfig;
import io.samphiregauge.gateway.port.ReadResult;
import io.samphiregauge.gateway.port.SharedStore;
import io.samphiregauge.gateway.port.StoreRecord;
import io.samphiregauge.gateway.port.StoreValueDecoder;
import io.samphiregauge.net.NetFailure;
import io.samphiregauge.schema.peer.ConfigCopy;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/**
 * Guards against an entry that calls the store again and again for a version that its reader knows,
 * and against one that gets no new configuration while the store turns it away.
 */
class ConfigFollowerTest {
  private final SimulatedTime time = new SimulatedTime();
  private String storedVersion = "1";
  private boolean storeFails;
  private int calls;
  private final ConfigFollower follower =
      new ConfigFollower(
          time.newVm().newControlThread(),
          store(),
          new StoreValueDecoder(
              "config",
              bytes -> Result.success(config(new String(bytes, UTF_8))),
              (key, bytes) -> Result.failed(new NetFailure.NotConnected("-", "-"))),
          5_000,
          () -> false,
          () -> {});

  private static SiteConfig config(String version) {
    return new SiteConfig(
        Long.parseLong(version), List.of(), List.of(), Optional.empty(), Optional.empty());
  }

  private SharedStore store() {
    return new SharedStore(
        topic -> {
          calls++;
          return CompletableFuture.completedFuture(
              storeFails
                  ? Result.failed(new NetFailure.NotConnected("store", "503"))
                  : Result.success(
                      new ReadResult.Records(
                          List.of(
                              new StoreRecord(
                                  "config", Optional.of(storedVersion.getBytes(UTF_8)))),
                          1)));
        },
        (topic, offset, waitMs) -> {
          calls++;
          return new CompletableFuture<>();
        },
        (topic, value, end) -> new CompletableFuture<>(),
        (topic, values, end) -> new CompletableFuture<>(),
        (member, generation) -> new CompletableFuture<>(),
        member -> new CompletableFuture<>(),
        CompletableFuture::new);
  }

  /** Follows a reader that knows version 1, without calls to the store. */
  private void followReader() {
    follower.start();
    time.run(10);
    tell(1, false);
    calls = 0;
  }

  private void tell(long version, boolean sendsCopy) {
    follower.confirm(version, DualTimestamp.now(), () -> sendsCopy);
  }

  @Test
  void aCopyFromTheReaderNeedsNoCall() {
    followReader();
    tell(2, true);
    follower.applyCopy(new ConfigCopy(Base64.getEncoder().encodeToString("2".getBytes(UTF_8))));
    time.run(5_000);
    assertThat(follower.version()).isEqualTo(2);
    assertThat(calls).isZero();
  }

  @Test
  void withoutACopyTheStoreIsReadOnce() {
    followReader();
    storedVersion = "2";
    tell(2, true);
    time.run(5_000);
    assertThat(follower.version()).isEqualTo(2);
    assertThat(calls).isEqualTo(1);
  }

  /** Nine seconds of refusals, with a reply of the reader every 0.6 s. */
  @Test
  void aStoreThatTurnsTheEntryAwayIsAskedOnceForEachReply() {
    followReader();
    storeFails = true;
    for (int i = 0; i < 15; i++) {
      tell(2, false);
      time.run(600);
    }
    assertThat(calls).isLessThanOrEqualTo(15);
    storeFails = false;
    storedVersion = "2";
    tell(2, false);
    time.run(10);
    assertThat(follower.version()).isEqualTo(2);
  }

  @Test
  void anOlderVersionOfTheReaderIsIgnored() {
    storedVersion = "3";
    follower.start();
    time.run(10);
    tell(3, false);
    calls = 0;
    tell(2, true);
    time.run(5_000);
    assertThat(calls).isZero();
    assertThat(follower.version()).isEqualTo(3);
  }
}
