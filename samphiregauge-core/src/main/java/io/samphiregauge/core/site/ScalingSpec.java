package io.samphiregauge.core.site;

import java.util.Map;

/**
 * The scaling limits and prices of the backend servers of a service.
 *
 * @param min minimum number of servers per failure domain
 * @param max maximum number of servers per failure domain
 * @param bootMs time from the start of a new server until it serves requests, in milliseconds
 * @param reclaimableShare price of a reclaimable server as a fraction of the full price; 1 without
 *     a discount
 * @param domainPrices price of a server per second, by failure domain
 */
public record ScalingSpec(
    int min, int max, long bootMs, double reclaimableShare, Map<String, Double> domainPrices) {
  /** Makes a defensive copy of the map of prices. */
  public ScalingSpec {
    domainPrices = Map.copyOf(domainPrices);
  }
}
