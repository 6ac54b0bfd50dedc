package io.samphiregauge.core.backend;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class BackendRegistryTest {
  private final BackendRegistry registry = new BackendRegistry(1_000);

  private static BackendServer server(String id, long startedMs, boolean draining) {
    return new BackendServer(
        id, startedMs, "desk", "v1", "10.0.0.1:80", "a", 6, draining, Optional.empty(), false);
  }

  private void announce(BackendServer server, long nowMs) {
    registry.update(server.id(), Optional.of(server), nowMs);
  }

  /** A server that is shutting down may terminate before it responds to a new request. */
  @Test
  void drainingServerIsNotUsable() {
    announce(server("s", 1, false), 0);
    announce(server("s", 1, true), 10);
    assertThat(registry.usable()).isEmpty();
  }

  /** Guards against a drained server that becomes usable again when its announcement is removed. */
  @Test
  void drainedServerGetsNoGrace() {
    announce(server("s", 1, true), 0);
    registry.update("s", Optional.empty(), 10);
    assertThat(registry.usable()).isEmpty();
  }

  /** Guards against a store outage that removes all servers at once. */
  @Test
  void lapsedServerStaysUsableForAShortTime() {
    announce(server("s", 1, false), 0);
    assertThat(registry.update("s", Optional.empty(), 10)).isTrue();
    assertThat(registry.usable()).hasSize(1);
    assertThat(registry.expire(1_009)).isFalse();
    assertThat(registry.expire(1_010)).isTrue();
    assertThat(registry.usable()).isEmpty();
  }

  /** Guards against a grace period that ends only when the next announcement arrives. */
  @Test
  void returnsTheEarliestGraceExpiry() {
    assertThat(registry.nextExpiryMs()).isEmpty();
    announce(server("s", 1, false), 0);
    announce(server("t", 1, false), 0);
    registry.update("t", Optional.empty(), 40);
    registry.update("s", Optional.empty(), 10);
    assertThat(registry.nextExpiryMs()).hasValue(1_010);
    registry.expire(1_010);
    assertThat(registry.nextExpiryMs()).hasValue(1_040);
  }

  /** Guards against a server that is listed twice if it is announced during its grace period. */
  @Test
  void reannouncedServerIsListedOnce() {
    announce(server("s", 1, false), 0);
    registry.update("s", Optional.empty(), 10);
    announce(server("s", 2, false), 20);
    assertThat(registry.usable()).containsExactly(server("s", 2, false));
  }

  /** Guards against a removed server that stays usable after a snapshot. */
  @Test
  void replaceAllRemovesMissingServers() {
    announce(server("s", 1, false), 0);
    announce(server("t", 1, false), 0);
    assertThat(registry.replaceAll(Map.of("t", server("t", 1, false)), 10)).containsExactly("s");
    registry.expire(1_010);
    assertThat(registry.usable()).containsExactly(server("t", 1, false));
  }

  /** Guards against updates caused by heartbeats without changes. */
  @Test
  void unchangedAnnouncementReportsNoChange() {
    announce(server("s", 1, false), 0);
    assertThat(registry.update("s", Optional.of(server("s", 1, false)), 10)).isFalse();
  }
}
