package io.samphiregauge.core.route;

import io.samphiregauge.core.RandomSource;
import io.samphiregauge.core.engine.EngineView;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/** Chooses among candidates by score: the best one, or at random one that is nearly as good. */
final class Choice {
  private final List<EngineView> candidates;
  private final double width;
  private final RandomSource random;

  /**
   * Makes a choice among candidates.
   *
   * @param width share of the best score by which another score may differ at even odds of 1 to e;
   *     0 always takes the best
   */
  Choice(List<EngineView> candidates, double width, RandomSource random) {
    this.candidates = candidates;
    this.width = width;
    this.random = random;
  }

  Optional<EngineView> near(Predicate<EngineView> suitable, ToDoubleFunction<EngineView> score) {
    double[] scores = new double[candidates.size()];
    int best = -1;
    for (int i = 0; i < scores.length; i++) {
      EngineView candidate = candidates.get(i);
      scores[i] =
          suitable.test(candidate) ? score.applyAsDouble(candidate) : Double.POSITIVE_INFINITY;
      if (scores[i] < (best < 0 ? Double.POSITIVE_INFINITY : scores[best])) {
        best = i;
      }
    }
    if (best < 0) {
      return Optional.empty();
    }
    return Optional.of(candidates.get(width > 0 ? sample(scores, best) : best));
  }

  private int sample(double[] scores, int best) {
    double scale = width * Math.max(1, scores[best]);
    double total = 0;
    double[] weights = new double[scores.length];
    for (int i = 0; i < scores.length; i++) {
      weights[i] = StrictMath.exp((scores[best] - scores[i]) / scale);
      total += weights[i];
    }
    double left = random.nextDouble() * total;
    for (int i = 0; i < weights.length; i++) {
      left -= weights[i];
      if (left < 0) {
        return i;
      }
    }
    return best;
  }
}
