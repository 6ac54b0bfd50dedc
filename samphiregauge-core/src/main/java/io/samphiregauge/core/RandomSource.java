package io.samphiregauge.core;

/** A source of random numbers; a seeded implementation makes runs reproducible. */
@FunctionalInterface
public interface RandomSource {
  /**
   * Returns the next random number.
   *
   * @return a value uniformly distributed over all longs
   */
  long nextLong();

  /**
   * Returns a random index into a collection of the given size.
   *
   * @param size size of the collection, greater than 0
   * @return an index from 0 to {@code size - 1}
   */
  default int nextIndex(int size) {
    return (int) Long.remainderUnsigned(nextLong(), size);
  }

  /**
   * Returns a random double with 53 bits of precision.
   *
   * @return a value from 0 (inclusive) to 1 (exclusive)
   */
  default double nextDouble() {
    return (nextLong() >>> 11) * 0x1.0p-53;
  }
}
