package io.samphiregauge.core.exchange;

import io.samphiregauge.schema.peer.ServiceDemand;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** Sums and differences of the demands of entries, by service. */
final class ServiceDemands {
  private ServiceDemands() {}

  /** Returns the sum of several demands; a negative number of requests counts as none. */
  static List<ServiceDemand> sum(Stream<List<ServiceDemand>> parts) {
    Map<Integer, Long> sums = new HashMap<>();
    parts.forEach(
        part ->
            part.forEach(
                demand ->
                    sums.merge(
                        demand.getService(), (long) Math.max(0, demand.getRequests()), Long::sum)));
    return toDemands(sums);
  }

  /** Returns a demand without a part of it. */
  static List<ServiceDemand> difference(List<ServiceDemand> all, List<ServiceDemand> part) {
    Map<Integer, Long> remaining = new HashMap<>();
    all.forEach(demand -> remaining.put(demand.getService(), (long) demand.getRequests()));
    part.forEach(
        demand ->
            remaining.computeIfPresent(
                demand.getService(),
                (service, requests) -> Math.max(0, requests - demand.getRequests())));
    return toDemands(remaining);
  }

  private static List<ServiceDemand> toDemands(Map<Integer, Long> requests) {
    return requests.entrySet().stream()
        .filter(entry -> entry.getValue() > 0)
        .map(
            entry ->
                new ServiceDemand(
                    entry.getKey(), (int) Math.min(Integer.MAX_VALUE, entry.getValue())))
        .toList();
  }
}
