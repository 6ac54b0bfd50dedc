package io.samphiregauge.core.route;

import io.samphiregauge.core.RandomSource;
import io.samphiregauge.core.engine.EngineView;
import java.util.List;
import java.util.Optional;

/** Places a model request on one engine or on two; a pure function of its arguments. */
@FunctionalInterface
public interface PlacementPolicy {
  /**
   * Chooses among engines.
   *
   * @param request the request
   * @param candidates engines to compare, at most 16
   * @param random breaks ties or samples
   * @return the choice, or empty where no engine can run the request
   */
  Optional<Placement> place(
      PlacementRequest request, List<EngineView> candidates, RandomSource random);
}
