package io.samphiregauge.core.route;

import io.samphiregauge.core.RandomSource;
import io.samphiregauge.core.engine.EngineView;
import java.util.List;
import java.util.Optional;

/**
 * Places a model request on one engine, or on two engines for a split request. Implementations are
 * stateless and read no clock: the result depends only on the arguments.
 */
@FunctionalInterface
public interface PlacementPolicy {
  /**
   * Chooses the placement of a request.
   *
   * @param request properties of the request
   * @param candidates engines to compare, at most 16
   * @param random source of randomness for sampling
   * @return the placement, or empty if no engine can run the request
   */
  Optional<Placement> place(
      PlacementRequest request, List<EngineView> candidates, RandomSource random);
}
