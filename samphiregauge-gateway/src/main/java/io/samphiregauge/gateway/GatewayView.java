package io.samphiregauge.gateway;

import io.samphiregauge.core.backend.BackendServer;
import io.samphiregauge.core.site.SiteConfig;
import java.util.List;
import java.util.Optional;

/**
 * What the control thread publishes to traffic; it never changes.
 *
 * @param config newest configuration
 * @param configAsOf time up to which that configuration is known to be the newest
 * @param servers backend servers that may get work
 * @param serversVersion grows with each change of the servers
 * @param members entries that serve callers, this one included unless it is stopping
 */
public record GatewayView(
    Optional<SiteConfig> config,
    DualTimestamp configAsOf,
    List<BackendServer> servers,
    long serversVersion,
    List<GroupMember> members) {

  /** Returns the view before anything is known. */
  public static GatewayView empty() {
    return new GatewayView(Optional.empty(), DualTimestamp.NEVER, List.of(), 0, List.of());
  }
}
