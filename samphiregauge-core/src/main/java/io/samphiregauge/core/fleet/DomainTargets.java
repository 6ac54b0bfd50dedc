package io.samphiregauge.core.fleet;

import io.samphiregauge.core.site.ScalingSpec;
import io.samphiregauge.core.site.ServiceSpec;
import io.samphiregauge.core.site.SiteConfig;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Plans the number of backend servers in each failure domain; stateless.
 *
 * <p>Reclaimable servers cost a fraction of on-demand servers. Where they are offered, the plan has
 * as many of them as the bounds allow and as few on-demand servers as possible, so that the servers
 * that remain after a reclaim still carry the load.
 */
public final class DomainTargets {
  private DomainTargets() {}

  /**
   * Plans the servers of all services with scaling settings.
   *
   * @param config the configuration
   * @return targets in the order in which to apply them: for each service, reclaimable servers are
   *     added before on-demand servers are removed
   */
  public static List<DomainTarget> plan(SiteConfig config) {
    List<DomainTarget> targets = new ArrayList<>();
    for (ServiceSpec service : new TreeMap<>(config.services()).values()) {
      service.scaling().ifPresent(scaling -> targets.addAll(plan(service.name(), scaling)));
    }
    return targets;
  }

  private static List<DomainTarget> plan(String service, ScalingSpec scaling) {
    List<DomainTarget> reclaimableTargets = new ArrayList<>();
    List<DomainTarget> onDemandTargets = new ArrayList<>();
    for (String domain : new TreeSet<>(scaling.domainPrices().keySet())) {
      boolean reclaimableAllowed = scaling.reclaimableShare() < 1;
      int onDemandServers = reclaimableAllowed ? 0 : scaling.max();
      if (reclaimableAllowed) {
        reclaimableTargets.add(
            new DomainTarget(
                service, domain, true, scaling.max() - onDemandServers, scaling.bootMs()));
      }
      onDemandTargets.add(
          new DomainTarget(service, domain, false, onDemandServers, scaling.bootMs()));
    }
    reclaimableTargets.addAll(onDemandTargets);
    return reclaimableTargets;
  }
}
