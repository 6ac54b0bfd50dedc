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

class AnnouncementBoardTest {
  private final AnnouncementBoard board = new AnnouncementBoard();

  private List<String> keys(long known) {
    return board.since(known).entries().stream().map(AnnouncementBoard.Entry::key).toList();
  }

  /** Guards against heartbeats of all servers that are sent again with each question. */
  @Test
  void tellsOnlyWhatChangedSince() {
    board.put("a", Optional.of("1"));
    board.put("b", Optional.of("1"));
    long known = board.version();
    assertThat(keys(known)).isEmpty();
    board.put("a", Optional.of("2"));
    assertThat(board.since(known).whole()).isFalse();
    assertThat(keys(known)).containsExactly("a");
  }

  /** Guards against a removed server that a neighbour keeps using. */
  @Test
  void tellsOfARemovedServer() {
    board.put("a", Optional.of("1"));
    long known = board.version();
    board.put("a", Optional.empty());
    assertThat(board.since(known).entries().get(0).value()).isEmpty();
    assertThat(keys(0)).isEmpty();
  }

  /** Guards against a neighbour that misses removals which are no longer remembered. */
  @Test
  void tellsEverythingToWhoeverIsTooFarBehind() {
    board.put("stays", Optional.of("1"));
    board.put("x", Optional.of("1"));
    long known = board.version();
    for (int i = 0; i <= 1_000; i++) {
      board.put("gone" + i, Optional.empty());
    }
    assertThat(board.since(known).whole()).isTrue();
    assertThat(keys(known)).containsExactly("stays", "x");
    assertThat(board.since(board.version() + 1).whole()).isTrue();
  }

  /** Guards against any order of questions after which a neighbour believes something else. */
  @Property
  void neighbourThatAsksNowAndThenKnowsTheSame(
      @ForAll @Size(max = 80) List<@IntRange(max = 40) Integer> steps) {
    AnnouncementBoard board = new AnnouncementBoard();
    Map<String, String> truth = new HashMap<>();
    Map<String, String> told = new HashMap<>();
    long known = 0;
    for (int step : steps) {
      String key = "k" + step % 7;
      if (step % 3 == 0) {
        truth.remove(key);
        board.put(key, Optional.empty());
      } else {
        truth.put(key, "v" + step);
        board.put(key, Optional.of("v" + step));
      }
      if (step % 4 == 0) {
        AnnouncementBoard.Changes changes = board.since(known);
        if (changes.whole()) {
          told.clear();
        }
        for (AnnouncementBoard.Entry entry : changes.entries()) {
          told.remove(entry.key());
          entry.value().ifPresent(value -> told.put(entry.key(), value));
        }
        known = board.version();
        assertThat(told).isEqualTo(truth);
      }
    }
  }

  /** Guards against calls to the store by every entry, and a single reader whose loss all feel. */
  @Test
  void inALargeDomainTwoEntriesRead() {
    List<String> vms = List.of("a", "b", "c", "d", "e", "f");
    assertThat(Readers.toAsk(vms, "a", 1)).isEmpty();
    assertThat(Readers.toAsk(vms, "b", 1)).isEmpty();
    assertThat(Readers.toAsk(vms, "c", 0)).contains("a");
    assertThat(Readers.toAsk(vms, "c", 1)).contains("b");
    assertThat(Readers.toAsk(vms.subList(0, 4), "c", 1)).isEmpty();
  }
}
