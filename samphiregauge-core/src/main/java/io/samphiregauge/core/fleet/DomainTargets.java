package io.samphiregauge.core.fleet;

import io.samphiregauge.core.backend.BackendServer;
import io.samphiregauge.core.site.ScalingSpec;
import io.samphiregauge.core.site.ServiceSpec;
import io.samphiregauge.core.site.SiteConfig;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Plans how many backend servers each failure domain is to have. It keeps no state. */
public final class DomainTargets {
  private DomainTargets() {}

  /**
   * Plans the servers of all services that can be scaled: as many as there are, within the bounds.
   *
   * @param config the configuration
   * @param servers the servers that are usable now
   * @return targets, in a fixed order
   */
  public static List<DomainTarget> keep(SiteConfig config, List<BackendServer> servers) {
    List<DomainTarget> targets = new ArrayList<>();
    for (ServiceSpec service : new TreeMap<>(config.services()).values()) {
      service
          .scaling()
          .ifPresent(scaling -> targets.addAll(keep(service.name(), scaling, servers)));
    }
    return targets;
  }

  private static List<DomainTarget> keep(
      String service, ScalingSpec scaling, List<BackendServer> servers) {
    List<DomainTarget> targets = new ArrayList<>();
    Map<String, Double> domains = new TreeMap<>(scaling.domainPrices());
    for (String domain : domains.keySet()) {
      int count =
          (int)
              servers.stream()
                  .filter(server -> server.service().equals(service))
                  .filter(server -> server.domain().equals(domain) && !server.reclaimable())
                  .count();
      int wanted = Math.min(scaling.max(), Math.max(scaling.min(), count));
      targets.add(new DomainTarget(service, domain, false, wanted));
    }
    return targets;
  }
}
