package io.samphiregauge.core.site;

import java.util.Map;

/**
 * How many backend servers a service may have in each failure domain, and what they cost.
 *
 * @param min fewest servers in a failure domain
 * @param max most servers in a failure domain
 * @param bootMs time until a new server serves
 * @param reclaimableShare price of a reclaimable server as a share of the full price, if offered
 * @param domainPrices price of a server for each second, by failure domain
 */
public record ScalingSpec(
    int min, int max, long bootMs, double reclaimableShare, Map<String, Double> domainPrices) {
  /** Copies the prices. */
  public ScalingSpec {
    domainPrices = Map.copyOf(domainPrices);
  }
}
