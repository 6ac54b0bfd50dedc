package io.samphiregauge.gateway.traffic;

import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.dispatch.Crossing;
import io.samphiregauge.core.dispatch.EngineRates;
import io.samphiregauge.core.dispatch.ServerLoad;
import io.samphiregauge.core.site.EngineSpec;
import io.samphiregauge.core.spill.FlowChange;
import io.samphiregauge.core.spill.ServiceSpill;
import io.samphiregauge.core.spill.TrafficCost;
import io.samphiregauge.schema.gateway.EntrySettings;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import java.util.function.ToLongFunction;

/**
 * Holds for each service what leaves the failure domain of this entry, and logs and counts it.
 * Without the setting for the cost of this traffic, any request may leave at a small constant cost.
 * Confined to one event loop.
 */
final class DomainTraffic {
  private static final Logger LOG = System.getLogger(DomainTraffic.class.getName());

  /** Work of a request apart from its prompt, in prompt tokens. */
  private static final double BASE_WORK = 100;

  private final EventLoopContext context;
  private final String domain;
  private final Optional<TrafficCost> cost;
  private final Map<String, ServiceSpill> services = new HashMap<>();
  private ToLongFunction<String> loadAgeMs = name -> 0;

  DomainTraffic(EventLoopContext context, EntrySettings settings) {
    this.context = context;
    this.domain = settings.getFailureDomain();
    this.cost =
        settings
            .getDomainGigabyteCostS()
            .map(
                gigabyteS ->
                    new TrafficCost(
                        gigabyteS,
                        settings.getKvGigabyteCostS().orElse(TrafficCost.DEFAULT_KV_GIGABYTE_S)));
  }

  /** Sets the source of the age of the loads that the entries of a failure domain reported. */
  void setLoadAge(ToLongFunction<String> ageMs) {
    loadAgeMs = ageMs;
  }

  /**
   * Returns which servers a request may use in its next attempt. While the loads of all entries are
   * fresh, each request by itself finds the server that answers it first.
   */
  Crossing crossing(RoutedRequest request) {
    return cost.filter(known -> context.areLoadsStale())
        .map(known -> crossing(request, known))
        .orElseGet(Crossing::atConstantCost);
  }

  private Crossing crossing(RoutedRequest request, TrafficCost known) {
    long nowMs = DualTimestamp.monotonicNowMs();
    String service = request.service();
    ServiceSpill spill = services.computeIfAbsent(service, name -> new ServiceSpill(domain, known));
    List<ServerLoad> servers = context.serverLoads().candidates(service, Set.of(), nowMs);
    spill
        .update(servers, waitMs(service, servers), loadAgeMs, nowMs)
        .forEach(change -> logChange(service, change));
    long bytes = request.httpRequest().content().readableBytes();
    double work = BASE_WORK + request.prompt().map(prompt -> prompt.tokens()).orElse(0);
    double kvBytesPerToken =
        context.engineSpec(service).map(EngineSpec::kvBytesPerToken).orElse(0.0);
    Crossing crossing =
        spill.crossing(new ServiceSpill.Request(bytes, work, kvBytesPerToken), nowMs);
    return crossing.andOnChosen(load -> countLeaving(load, bytes));
  }

  private ToDoubleFunction<ServerLoad> waitMs(String service, List<ServerLoad> servers) {
    boolean engines = servers.stream().anyMatch(ServerLoad::isEngine);
    if (engines) {
      EngineRates rates = context.engineRates(service);
      return rates::waitMs;
    }
    double latencyMs =
        servers.stream()
            .filter(load -> load.server().domain().equals(domain))
            .mapToDouble(ServerLoad::latencyMs)
            .average()
            .orElse(0);
    return load -> load.slotWaitMs(latencyMs);
  }

  private void countLeaving(ServerLoad load, long bytes) {
    if (!load.server().domain().equals(domain)) {
      context.metrics().increment("requests_to_domain." + load.server().domain());
      context.metrics().add("request_bytes_to_domain." + load.server().domain(), bytes);
    }
  }

  private void logChange(String service, FlowChange change) {
    context
        .metrics()
        .setGauge("domain_share." + service + "." + change.to(), Math.round(change.after() * 100));
    LOG.log(Level.INFO, "event=domain_flow_changed service=" + service + " " + change.logFields());
  }
}
