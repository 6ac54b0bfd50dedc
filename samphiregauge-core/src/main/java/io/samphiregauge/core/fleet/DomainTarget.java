package io.samphiregauge.core.fleet;

import io.samphiregauge.core.backend.BackendServer;

/**
 * Target number of backend servers of one kind for a service in a failure domain.
 *
 * @param service name of the service
 * @param domain failure domain
 * @param reclaimable whether the platform may reclaim these servers at short notice
 * @param servers target number of servers
 * @param bootMs time until a new server serves, in milliseconds
 */
public record DomainTarget(
    String service, String domain, boolean reclaimable, int servers, long bootMs) {
  /**
   * Returns whether a server counts towards the target.
   *
   * @param server the server
   * @return true if service, failure domain and kind match
   */
  public boolean includes(BackendServer server) {
    return server.service().equals(service)
        && server.domain().equals(domain)
        && server.reclaimable() == reclaimable;
  }
}
