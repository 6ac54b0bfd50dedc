package io.samphiregauge.core.route;

import java.util.Comparator;

/** Routing policies by name. */
public final class RoutingPolicies {
  private RoutingPolicies() {}

  /**
   * Chooses the least loaded candidate, and the nearest one among equals.
   *
   * @return the policy
   */
  public static RoutingPolicy leastLoad() {
    Comparator<Candidate> order =
        Comparator.comparingInt((Candidate c) -> c.running() + c.reportedLoad())
            .thenComparingInt(Candidate::hopUs)
            .thenComparing(c -> c.backend().getName());
    return (request, candidates) ->
        candidates.stream()
            .min(order)
            .map(choice -> new Route(choice, candidates.size(), "least_load"));
  }
}
