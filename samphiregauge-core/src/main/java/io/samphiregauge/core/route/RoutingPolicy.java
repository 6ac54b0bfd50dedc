package io.samphiregauge.core.route;

import java.util.List;
import java.util.Optional;

/** Chooses a backend server; a pure function of its arguments. */
@FunctionalInterface
public interface RoutingPolicy {
  /**
   * Chooses among candidates.
   *
   * @param request the request
   * @param candidates backend servers that could run it
   * @return the choice, or empty where there is no candidate
   */
  Optional<Route> choose(RouteRequest request, List<Candidate> candidates);
}
