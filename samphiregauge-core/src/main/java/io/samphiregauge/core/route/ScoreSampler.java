package io.samphiregauge.core.route;

import io.samphiregauge.core.RandomSource;
import io.samphiregauge.core.engine.EngineView;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * Selects the engine with the lowest score, or samples engines by softmax over the negated scores.
 */
final class ScoreSampler {
  private final List<EngineView> candidates;
  private final double relativeTemperature;
  private final RandomSource random;

  /**
   * Creates a sampler for a list of candidates.
   *
   * @param relativeTemperature temperature of the softmax as a fraction of the best score; 0 always
   *     selects the best candidate
   */
  ScoreSampler(List<EngineView> candidates, double relativeTemperature, RandomSource random) {
    this.candidates = candidates;
    this.relativeTemperature = relativeTemperature;
    this.random = random;
  }

  Optional<EngineView> choose(Predicate<EngineView> suitable, ToDoubleFunction<EngineView> score) {
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
    return Optional.of(candidates.get(relativeTemperature > 0 ? sample(scores, best) : best));
  }

  private int sample(double[] scores, int best) {
    double temperature = relativeTemperature * Math.max(1, scores[best]);
    double total = 0;
    double[] weights = new double[scores.length];
    for (int i = 0; i < scores.length; i++) {
      weights[i] = StrictMath.exp((scores[best] - scores[i]) / temperature);
      total += weights[i];
    }
    double remaining = random.nextDouble() * total;
    for (int i = 0; i < weights.length; i++) {
      remaining -= weights[i];
      if (remaining < 0) {
        return i;
      }
    }
    return best;
  }
}
