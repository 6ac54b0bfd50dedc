package io.samphiregauge.core.route;

import java.util.List;
import java.util.Optional;

/** Chooses the backend server of a request. Implementations are pure functions. */
@FunctionalInterface
public interface RoutingPolicy {
  /**
   * Chooses the server of a request.
   *
   * @param request the request
   * @param candidates backend servers that can run the request
   * @return the route, or empty without candidates
   */
  Optional<Route> choose(RouteRequest request, List<Candidate> candidates);
}
