package io.samphiregauge.core.fleet;

/**
 * Number of backend servers of one kind that a service is to have in a failure domain.
 *
 * @param service name of the service
 * @param domain failure domain
 * @param reclaimable whether these are servers that may be taken away at short notice
 * @param servers their number
 */
public record DomainTarget(String service, String domain, boolean reclaimable, int servers) {
  /**
   * Returns whether another target is for the same servers.
   *
   * @param other the other target
   * @return whether only the number may differ
   */
  public boolean sameServers(DomainTarget other) {
    return service.equals(other.service)
        && domain.equals(other.domain)
        && reclaimable == other.reclaimable;
  }
}
