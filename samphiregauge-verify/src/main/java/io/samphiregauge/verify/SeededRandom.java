package io.samphiregauge.verify;

import io.samphiregauge.core.RandomSource;
import java.util.List;

/** A seeded source of random numbers (SplitMix64). */
final class SeededRandom implements RandomSource {
  private static final long GOLDEN_GAMMA = 0x9E3779B97F4A7C15L;

  private long state;

  SeededRandom(long seed) {
    this.state = seed;
  }

  @Override
  public long nextLong() {
    state += GOLDEN_GAMMA;
    long z = (state ^ (state >>> 30)) * 0xBF58476D1CE4E5B9L;
    z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
    return z ^ (z >>> 31);
  }

  /** Returns a number from {@code low} to {@code high}, both included. */
  long between(long low, long high) {
    return low + Long.remainderUnsigned(nextLong(), high - low + 1);
  }

  boolean chance(double probability) {
    return nextDouble() < probability;
  }

  <T> T pick(List<T> items) {
    return items.get(nextIndex(items.size()));
  }
}
