package io.samphiregauge.core.backend;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class AnnouncementLogTest {
  private final AnnouncementLog log = new AnnouncementLog();

  private List<String> changedKeys(long knownVersion) {
    return log.since(knownVersion).updates().stream().map(AnnouncementLog.Update::key).toList();
  }

  /** Guards against responses that repeat the announcements of all servers. */
  @Test
  void returnsOnlyUpdatesAfterTheKnownVersion() {
    log.put("a", Optional.of("1"));
    log.put("b", Optional.of("1"));
    long knownVersion = log.version();
    assertThat(changedKeys(knownVersion)).isEmpty();
    log.put("a", Optional.of("2"));
    assertThat(log.since(knownVersion).snapshot()).isFalse();
    assertThat(changedKeys(knownVersion)).containsExactly("a");
  }

  /** Guards against an entry that keeps using a removed server. */
  @Test
  void returnsTombstoneOfARemovedServer() {
    log.put("a", Optional.of("1"));
    long knownVersion = log.version();
    log.put("a", Optional.empty());
    assertThat(log.since(knownVersion).updates().get(0).value()).isEmpty();
    assertThat(changedKeys(0)).isEmpty();
  }

  /** Guards against an entry that misses removals whose tombstones were compacted. */
  @Test
  void returnsSnapshotWhenTombstonesWereCompacted() {
    log.put("stays", Optional.of("1"));
    log.put("x", Optional.of("1"));
    long knownVersion = log.version();
    for (int i = 0; i <= 1_000; i++) {
      log.put("gone" + i, Optional.empty());
    }
    assertThat(log.since(knownVersion).snapshot()).isTrue();
    assertThat(changedKeys(knownVersion)).containsExactly("stays", "x");
    assertThat(log.since(log.version() + 1).snapshot()).isTrue();
  }

  /** Guards against a sequence of changes and requests after which the replica differs. */
  @Property
  void occasionalReaderConvergesToTheSameState(
      @ForAll @Size(max = 80) List<@IntRange(max = 40) Integer> steps) {
    AnnouncementLog log = new AnnouncementLog();
    Map<String, String> expected = new HashMap<>();
    Map<String, String> replica = new HashMap<>();
    long knownVersion = 0;
    for (int step : steps) {
      String key = "k" + step % 7;
      if (step % 3 == 0) {
        expected.remove(key);
        log.put(key, Optional.empty());
      } else {
        expected.put(key, "v" + step);
        log.put(key, Optional.of("v" + step));
      }
      if (step % 4 == 0) {
        AnnouncementLog.Changes changes = log.since(knownVersion);
        if (changes.snapshot()) {
          replica.clear();
        }
        for (AnnouncementLog.Update update : changes.updates()) {
          replica.remove(update.key());
          update.value().ifPresent(value -> replica.put(update.key(), value));
        }
        knownVersion = log.version();
        assertThat(replica).isEqualTo(expected);
      }
    }
  }

  /** Guards against store reads by every entry, and against a single reader as point of failure. */
  @Test
  void twoEntriesReadTheStoreInALargeDomain() {
    List<String> vms = List.of("a", "b", "c", "d", "e", "f");
    assertThat(StoreReaders.readerFor(vms, "a", 1)).isEmpty();
    assertThat(StoreReaders.readerFor(vms, "b", 1)).isEmpty();
    assertThat(StoreReaders.readerFor(vms, "c", 0)).contains("a");
    assertThat(StoreReaders.readerFor(vms, "c", 1)).contains("b");
    assertThat(StoreReaders.readerFor(vms.subList(0, 4), "c", 1)).isEmpty();
  }
}
