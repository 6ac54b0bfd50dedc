package io.samphiregauge.core.stream;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiregauge.core.StorePosition;
import io.samphiregauge.core.backend.BackendServer;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;

class VersionLedgerTest {
  private static final ServiceVersion OLD = new ServiceVersion("planner", "v1");
  private static final ServiceVersion NEW = new ServiceVersion("planner", "v2");
  private static final long SETTLE_MS = VersionLedger.SETTLE_MS;

  private static final long NOW_MS = 1;

  private final VersionLedger ledger = new VersionLedger(0);

  private static BackendServer server(ServiceVersion version) {
    return new BackendServer(
        "i-" + version.version(),
        1,
        version.service(),
        version.version(),
        "10.0.0.1:80",
        "a",
        4,
        false,
        Optional.empty(),
        false);
  }

  private static VersionLedger.Snapshot snapshot(long era, long settledEra, ServiceVersion... all) {
    return new VersionLedger.Snapshot(
        Set.of(all), OptionalLong.of(settledEra), new StorePosition(era, 9));
  }

  private void list(ServiceVersion... versions) {
    ledger.onListed(Set.of(versions), 0);
  }

  /** Guards against a stream that begins at a version that no register lists yet. */
  @Test
  void versionIsUsedOnlyAfterItIsListed() {
    ledger.onServers(List.of(server(OLD)), 0);
    assertThat(ledger.mayUse(server(OLD))).isFalse();
    assertThat(ledger.unlisted()).containsExactly(OLD);
    list(OLD);
    assertThat(ledger.mayUse(server(OLD))).isTrue();
    ledger.onServers(List.of(server(OLD), server(NEW)), 1);
    assertThat(ledger.mayUse(server(NEW))).isFalse();
  }

  /** Guards against refused requests at an entry that starts, until its own listing is stored. */
  @Test
  void versionThatTheRegisterHasJustShownIsUsedAtOnce() {
    ledger.onSnapshot(snapshot(0, 0, OLD), NOW_MS);
    ledger.onServers(List.of(server(OLD), server(NEW)), NOW_MS + 300);
    assertThat(ledger.mayUse(server(OLD))).isTrue();
    assertThat(ledger.mayUse(server(NEW))).isFalse();
    assertThat(ledger.unlisted()).containsExactlyInAnyOrder(OLD, NEW);
    ledger.onServers(List.of(), NOW_MS + 400);
    ledger.onServers(List.of(server(OLD)), NOW_MS + 60_000);
    assertThat(ledger.mayUse(server(OLD))).isFalse();
  }

  /** Guards against a version that comes back after another entry has removed it. */
  @Test
  void versionThatComesBackIsListedAgain() {
    ledger.onServers(List.of(server(OLD)), 0);
    list(OLD);
    ledger.onServers(List.of(), 1);
    ledger.onServers(List.of(server(OLD)), 2);
    assertThat(ledger.mayUse(server(OLD))).isFalse();
    assertThat(ledger.unlisted()).containsExactly(OLD);
  }

  /** Guards against a guess which version began a stream. */
  @Test
  void onlyVersionIsCertainOnlyInACompleteRegisterWithOneVersion() {
    assertThat(snapshot(0, 0, OLD).onlyVersion("planner")).contains("v1");
    assertThat(snapshot(0, 0, OLD, NEW).onlyVersion("planner")).isEmpty();
    assertThat(snapshot(1, 0, OLD).onlyVersion("planner")).isEmpty();
    assertThat(snapshot(0, 0, OLD).onlyVersion("desk")).isEmpty();
  }

  /** Guards against streams without a record while the version cannot be told otherwise. */
  @Test
  void serviceIsMixedUntilTheRegisterSaysOtherwise() {
    ledger.onServers(List.of(server(OLD)), 0);
    list(OLD);
    assertThat(ledger.isMixed("planner")).isTrue();
    ledger.onSnapshot(snapshot(0, 0, OLD), NOW_MS);
    assertThat(ledger.isMixed("planner")).isFalse();
    assertThat(ledger.needsRefresh()).isFalse();
    ledger.onSnapshot(snapshot(0, 0, OLD, NEW), NOW_MS);
    assertThat(ledger.isMixed("planner")).isTrue();
  }

  /**
   * Guards against a restored store whose register lacks the newest version: all versions are
   * listed again, without a pause of the service, and none is taken for the only one.
   */
  @Test
  void restoreMakesEveryVersionListedAgainAndEveryServiceMixed() {
    ledger.onServers(List.of(server(OLD)), 0);
    list(OLD);
    ledger.onSnapshot(snapshot(0, 0, OLD), NOW_MS);
    ledger.onEra(1, 5);
    assertThat(ledger.unlisted()).containsExactly(OLD);
    assertThat(ledger.mayUse(server(OLD))).isTrue();
    assertThat(ledger.isMixed("planner")).isTrue();
    ledger.onListed(Set.of(OLD), 0);
    assertThat(ledger.unlisted()).containsExactly(OLD);
  }

  /** Guards against a register that counts as complete while streams of a lost listing may run. */
  @Test
  void eraIsSettledAfterAllStreamsOfTheLastOneHaveEnded() {
    ledger.onEra(1, 100);
    ledger.onServers(List.of(server(OLD)), 100);
    ledger.onSnapshot(snapshot(1, 0, OLD), NOW_MS);
    assertThat(ledger.prepareUpdate(100 + SETTLE_MS - 1)).isEmpty();
    VersionLedger.Update update = ledger.prepareUpdate(100 + SETTLE_MS).orElseThrow();
    assertThat(update.settledEra()).hasValue(1);
    assertThat(update.expected()).isEqualTo(new StorePosition(1, 9));
  }

  /** Guards against the removal of a version whose streams may still be resumed. */
  @Test
  void versionIsRetiredWhenItHasBeenAbsentForLong() {
    ledger.onServers(List.of(server(OLD), server(NEW)), 0);
    ledger.onSnapshot(snapshot(0, 0, OLD, NEW), NOW_MS);
    assertThat(ledger.prepareUpdate(SETTLE_MS)).isEmpty();
    ledger.onServers(List.of(server(NEW)), SETTLE_MS);
    assertThat(ledger.prepareUpdate(2 * SETTLE_MS - 1)).isEmpty();
    assertThat(ledger.prepareUpdate(2 * SETTLE_MS).orElseThrow().retired()).containsExactly(OLD);
  }
}
