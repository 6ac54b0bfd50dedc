package io.samphiregauge.gateway;

import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.backend.BackendServer;
import io.samphiregauge.core.quota.MembershipLease;
import io.samphiregauge.core.site.SiteConfig;
import io.samphiregauge.core.suspect.CrashSuspects;
import java.util.List;
import java.util.Optional;

/**
 * An immutable snapshot of the control state, which the control thread publishes for traffic.
 *
 * @param config newest configuration, or empty before the first one was read
 * @param configAsOf time as of which that configuration is known to be the newest
 * @param servers backend servers that may receive requests
 * @param serversVersion incremented by each change of the servers
 * @param members entries that serve callers, including this one unless it is stopping
 * @param lease how long this entry may rely on the list of members
 * @param crashSuspects traits of requests that crash backend servers
 */
public record GatewayView(
    Optional<SiteConfig> config,
    DualTimestamp configAsOf,
    List<BackendServer> servers,
    long serversVersion,
    List<GroupMember> members,
    MembershipLease lease,
    CrashSuspects crashSuspects) {

  /** Returns the view before the first read of the store. */
  public static GatewayView empty() {
    return new GatewayView(
        Optional.empty(),
        DualTimestamp.NEVER,
        List.of(),
        0,
        List.of(),
        MembershipLease.NONE,
        CrashSuspects.none());
  }
}
