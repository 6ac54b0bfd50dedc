package io.samphiregauge.core.spill;

import io.samphiregauge.core.dispatch.Crossing;
import io.samphiregauge.core.dispatch.ServerLoad;
import io.samphiregauge.core.dispatch.ServerLoad.Observations;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.function.ToLongFunction;

/**
 * Decides which requests of one entry for one service leave the entry's failure domain. Confined to
 * one traffic thread.
 *
 * <p>{@link DomainFlows} says which part of the work may leave. Each request adds that part of its
 * work to a credit for each domain; a request may use servers of a domain whose credit covers it.
 */
public final class ServiceSpill {
  /** Time between two looks at the figures; loads are exchanged about as often. */
  private static final long UPDATE_PERIOD_MS = 250;

  /** Time for which a response proves that a domain works. */
  private static final long CONFIRMED_MS = 1_000;

  /** Additional network latency of another failure domain for a request and its response. */
  private static final double HOP_MS = 2;

  /** Requests of the usual size that may leave at once after a time without any. */
  private static final double MAX_BURST = 4;

  /** Weight of a request in the usual size and work. */
  private static final double AVERAGE_WEIGHT = 0.02;

  private final String domain;
  private final TrafficCost cost;
  private final DomainFlows flows;
  private final LinkObserver links;
  private final Map<String, Double> credits = new HashMap<>();
  private long updatedAtMs = Long.MIN_VALUE / 2;
  private double usualBytes;
  private double usualWork = 1;

  /**
   * A request that looks for a server.
   *
   * @param bodyBytes size of its body
   * @param work measure of the work that it causes, such as prompt tokens
   * @param kvBytesPerToken size of the KV cache of a prompt token, in bytes
   */
  public record Request(long bodyBytes, double work, double kvBytesPerToken) {}

  /**
   * Creates the state of a service of whose requests none leaves the domain.
   *
   * @param domain failure domain of the entry
   * @param cost what traffic between failure domains costs
   */
  public ServiceSpill(String domain, TrafficCost cost) {
    this.domain = domain;
    this.cost = cost;
    this.flows = new DomainFlows(domain);
    this.links = new LinkObserver(domain);
  }

  /**
   * Updates the flows if that is due.
   *
   * @param servers all servers of the service
   * @param waitMs expected wait at a server, in milliseconds
   * @param ageMs age of the loads that the entries of a failure domain reported, in milliseconds
   * @param nowMs monotonic time in milliseconds
   * @return the changes
   */
  public List<FlowChange> update(
      List<ServerLoad> servers,
      ToDoubleFunction<ServerLoad> waitMs,
      ToLongFunction<String> ageMs,
      long nowMs) {
    if (nowMs - updatedAtMs < UPDATE_PERIOD_MS) {
      return List.of();
    }
    updatedAtMs = nowMs;
    Map<String, List<ServerLoad>> byDomain = new LinkedHashMap<>();
    servers.forEach(
        load ->
            byDomain.computeIfAbsent(load.server().domain(), name -> new ArrayList<>()).add(load));
    Map<String, Observations> seen = new HashMap<>();
    byDomain.forEach((name, loads) -> seen.put(name, observations(loads)));
    links.recordOwn(seen.getOrDefault(domain, new Observations(0, 0, 0)));
    seen.forEach((name, observations) -> links.record(name, observations, nowMs));
    List<DomainLoad> loads = new ArrayList<>();
    byDomain.forEach(
        (name, all) -> loads.add(domainLoad(name, all, waitMs, ageMs.applyAsLong(name), nowMs)));
    return flows.update(loads, HOP_MS + cost.requestMs((long) usualBytes), nowMs);
  }

  private static Observations observations(List<ServerLoad> loads) {
    int responses = 0;
    int failures = 0;
    double excessMs = 0;
    for (ServerLoad load : loads) {
      Observations seen = load.takeObservations();
      responses += seen.responses();
      failures += seen.failures();
      excessMs += seen.excessMs();
    }
    return new Observations(responses, failures, excessMs);
  }

  private DomainLoad domainLoad(
      String name,
      List<ServerLoad> all,
      ToDoubleFunction<ServerLoad> waitMs,
      long ageMs,
      long nowMs) {
    // Where some engines only prefill, a request waits for one of these first.
    boolean split = all.stream().anyMatch(load -> load.server().prefillOnly());
    List<ServerLoad> first =
        all.stream().filter(load -> !split || load.server().prefillOnly()).toList();
    List<ServerLoad> usable = first.stream().filter(load -> !load.isAvoided(nowMs)).toList();
    boolean confirmed =
        name.equals(domain)
            || nowMs - links.heardAtMs(name) <= CONFIRMED_MS
            || all.stream().anyMatch(load -> load.totalInFlight() > load.inFlight());
    return new DomainLoad(
        name,
        usable.size(),
        usable.stream().mapToDouble(waitMs).average().orElse(0),
        utilization(usable),
        links.extraMs(name),
        name.equals(domain) ? 0 : ageMs,
        usable.size() * 2 >= first.size(),
        confirmed);
  }

  /** Returns the larger part of what is in use: slots, or engines that have prompts to prefill. */
  private static double utilization(List<ServerLoad> servers) {
    double slots = servers.stream().mapToInt(load -> Math.max(1, load.server().slots())).sum();
    double inFlight = servers.stream().mapToInt(ServerLoad::totalInFlight).sum();
    double prefilling = servers.stream().filter(load -> load.totalPromptTokens() > 0).count();
    return servers.isEmpty() ? 0 : Math.max(inFlight / slots, prefilling / servers.size());
  }

  /** Returns the part of the work that goes to a failure domain, from 0 to 1. */
  public double share(String other) {
    return flows.share(other);
  }

  /**
   * Returns which servers a request may use. Counts the request: called once for each server that
   * it needs.
   *
   * @param request the request
   * @param nowMs monotonic time in milliseconds
   */
  public Crossing crossing(Request request, long nowMs) {
    usualBytes += AVERAGE_WEIGHT * (request.bodyBytes() - usualBytes);
    usualWork += AVERAGE_WEIGHT * (request.work() - usualWork);
    double most = Math.max(request.work(), MAX_BURST * usualWork);
    credits.replaceAll(
        (name, credit) -> Math.min(most, credit + flows.openShare(name) * request.work()));
    return new Crossing(
        servers -> permitted(servers, request.work(), nowMs),
        name -> HOP_MS + cost.requestMs(request.bodyBytes()) + links.extraMs(name),
        tokens -> cost.kvMs(tokens * request.kvBytesPerToken()),
        load -> spend(load.server().domain(), request.work()),
        true);
  }

  private void spend(String target, double work) {
    if (!target.equals(domain)) {
      // Without own servers more leaves than the flow allows; that is not owed for long.
      double least = -Math.max(work, MAX_BURST * usualWork);
      credits.merge(target, -work, (credit, spent) -> Math.max(least, credit + spent));
    }
  }

  /** A stage without a usable server in the permitted domains is served by any other. */
  private List<ServerLoad> permitted(List<ServerLoad> servers, double work, long nowMs) {
    List<ServerLoad> result = new ArrayList<>();
    for (boolean prefillOnly : new boolean[] {false, true}) {
      List<ServerLoad> stage =
          servers.stream().filter(load -> load.server().prefillOnly() == prefillOnly).toList();
      result.addAll(
          firstUsable(
              stage,
              nowMs,
              List.of(
                  load -> isPermitted(load.server().domain(), work),
                  load -> share(load.server().domain()) > 0)));
    }
    return result;
  }

  private static List<ServerLoad> firstUsable(
      List<ServerLoad> stage, long nowMs, List<Predicate<ServerLoad>> filters) {
    return filters.stream()
        .map(filter -> stage.stream().filter(filter).toList())
        .filter(loads -> loads.stream().anyMatch(load -> !load.isAvoided(nowMs)))
        .findFirst()
        .orElse(stage);
  }

  private boolean isPermitted(String name, double work) {
    if (name.equals(domain)) {
      return true;
    }
    double credit = credits.computeIfAbsent(name, unknown -> 0.0);
    return flows.openShare(name) > 0 && credit >= work;
  }
}
