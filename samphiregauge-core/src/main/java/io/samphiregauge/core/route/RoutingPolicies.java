package io.samphiregauge.core.route;

import java.util.Comparator;

/** Factory methods for routing policies. */
public final class RoutingPolicies {
  private RoutingPolicies() {}

  /**
   * Returns a policy that chooses the least loaded candidate, with ties broken by network latency.
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
