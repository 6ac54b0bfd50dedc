package io.samphiregauge.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.nio.NioEventLoopGroup;
import io.samphiregauge.net.Address;
import io.samphiregauge.net.Codec;
import io.samphiregauge.net.OneShotHttpClient;
import io.samphiregauge.schema.config.Settings;
import io.samphiregauge.schema.entry.DirectoryAnswer;
import io.samphiregauge.schema.platform.RecordsPage;
import io.samphiregauge.schema.record.Ended;
import io.samphiregauge.schema.record.LeaseClaim;
import io.samphiregauge.schema.record.LogRecord;
import io.samphiregauge.standins.LogStandin;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against entries that do not discover each other, and against a departed entry that stays
 * in the directory. Runs three entries on one log.
 */
class MultiEntryTest {
  private static final Address ANY = new Address("127.0.0.1", 0);
  private static final int CALL_TIMEOUT_MS = 5_000;

  /** Bounds a test that would otherwise hang; far more time than gossip and the log need. */
  private static final int MAX_POLLS = 600;

  private static final int POLL_INTERVAL_MS = 100;
  private final NioEventLoopGroup logLoop = new NioEventLoopGroup(1);
  private final NioEventLoopGroup clientLoop = new NioEventLoopGroup(1);
  private final OneShotHttpClient httpClient = new OneShotHttpClient(clientLoop);
  private final List<Entry> entries = new ArrayList<>();
  private LogStandin log;

  @BeforeEach
  void start() {
    log = LogStandin.start(logLoop, ANY);
    for (String domain : List.of("a", "b", "c")) {
      Settings settings = settings(domain);
      entries.add(Entry.start(settings, () -> System.nanoTime() / 1_000_000).value().orElseThrow());
    }
  }

  @AfterEach
  void stop() {
    entries.forEach(Entry::close);
    log.close();
    logLoop.shutdownGracefully();
    clientLoop.shutdownGracefully();
  }

  @Test
  void directoryListsAllEntriesAndEachLeaseIsClaimedOnce() throws Exception {
    for (Entry entry : entries) {
      assertThat(pollUntil(() -> directorySize(entry), size -> size == 3)).isEqualTo(3);
    }
    List<String> roles = pollUntil(this::claimedRoles, claimed -> claimed.size() >= 2);
    assertThat(roles).containsExactlyInAnyOrder("fleet/luzon", "usage/luzon");
  }

  @Test
  void drainedEntryLeavesTheDirectoryAndRecordsItsEnd() throws Exception {
    Entry staying = entries.get(0);
    pollUntil(() -> directorySize(staying), size -> size == 3);
    entries.remove(2).drain().get(MAX_POLLS * POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
    assertThat(pollUntil(() -> directorySize(staying), size -> size == 2)).isEqualTo(2);
    List<String> ended =
        records().stream()
            .map(LogRecord::getBody)
            .filter(Ended.class::isInstance)
            .map(body -> ((Ended) body).getIncarnation().getVm())
            .toList();
    assertThat(ended).containsExactly("vm-c");
  }

  /** Polls until the condition holds or the attempts are used up, and returns the last value. */
  private static <T> T pollUntil(Supplier<T> probe, Predicate<T> condition)
      throws InterruptedException {
    T value = probe.get();
    for (int i = 0; i < MAX_POLLS && !condition.test(value); i++) {
      TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
      value = probe.get();
    }
    return value;
  }

  private int directorySize(Entry entry) {
    return httpClient
        .get(entry.address(), "/v1/directory", CALL_TIMEOUT_MS)
        .join()
        .flatMap(body -> Codec.json().decode(body, DirectoryAnswer.class))
        .map(response -> response.getAddresses().size())
        .value()
        .orElse(0);
  }

  /** Returns the roles that were claimed; only the first claim of a role takes effect. */
  private List<String> claimedRoles() {
    return records().stream()
        .map(LogRecord::getBody)
        .filter(LeaseClaim.class::isInstance)
        .map(body -> ((LeaseClaim) body).getRole())
        .distinct()
        .toList();
  }

  private List<LogRecord> records() {
    return httpClient
        .get(log.address(), "/v1/streams/control/records?from=0&wait_ms=0", CALL_TIMEOUT_MS)
        .join()
        .flatMap(body -> Codec.json().decode(body, RecordsPage.class))
        .value()
        .orElseThrow()
        .getRecords()
        .stream()
        .map(at -> at.getRecord())
        .toList();
  }

  private Settings settings(String domain) {
    return new Settings(
        "vm-" + domain,
        "luzon",
        domain,
        "127.0.0.1:0",
        "127.0.0.1:0",
        "http://" + log.address(),
        List.of(),
        200,
        100,
        500);
  }
}
