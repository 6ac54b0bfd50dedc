package io.samphiregauge.core.fleet;

import io.samphiregauge.core.site.ScalingSpec;
import io.samphiregauge.core.site.ServiceSpec;
import io.samphiregauge.core.site.SiteConfig;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Plans how many backend servers each failure domain is to have. It keeps no state.
 *
 * <p>Reclaimable servers cost a fraction of the others. All that the bounds allow are ordered,
 * beside the fewest ordinary ones, so that the servers left after a reclaim still carry the load.
 */
public final class DomainTargets {
  private DomainTargets() {}

  /**
   * Plans the servers of all services that can be scaled.
   *
   * @param config the configuration
   * @return targets, in the order in which they are to be ordered: what is added comes first
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
    List<DomainTarget> ordinaryTargets = new ArrayList<>();
    for (String domain : new TreeSet<>(scaling.domainPrices().keySet())) {
      boolean reclaimableAllowed = scaling.reclaimableShare() < 1;
      int ordinaryServers = reclaimableAllowed ? 0 : scaling.max();
      if (reclaimableAllowed) {
        reclaimableTargets.add(
            new DomainTarget(
                service, domain, true, scaling.max() - ordinaryServers, scaling.bootMs()));
      }
      ordinaryTargets.add(
          new DomainTarget(service, domain, false, ordinaryServers, scaling.bootMs()));
    }
    reclaimableTargets.addAll(ordinaryTargets);
    return reclaimableTargets;
  }
}
