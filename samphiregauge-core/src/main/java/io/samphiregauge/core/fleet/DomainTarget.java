package io.samphiregauge.core.fleet;

import io.samphiregauge.core.backend.BackendServer;

/**
 * Number of backend servers of one kind that a service is to have in a failure domain.
 *
 * @param service name of the service
 * @param domain failure domain
 * @param reclaimable whether these are servers that may be taken away at short notice
 * @param servers their number
 * @param bootMs time until a new server serves, in milliseconds
 */
public record DomainTarget(
    String service, String domain, boolean reclaimable, int servers, long bootMs) {
  /**
   * Returns whether a server is one of those that the target counts.
   *
   * @param server the server
   * @return whether service, failure domain and kind are the same
   */
  public boolean includes(BackendServer server) {
    return server.service().equals(service)
        && server.domain().equals(domain)
        && server.reclaimable() == reclaimable;
  }
}
