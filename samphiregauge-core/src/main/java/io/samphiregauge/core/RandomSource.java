package io.samphiregauge.core;

/** Gives random numbers; a seeded source makes a run repeatable. */
@FunctionalInterface
public interface RandomSource {
  /**
   * Returns the next random number.
   *
   * @return a number, uniform over all longs
   */
  long nextLong();

  /**
   * Returns a random index.
   *
   * @param size number of choices, greater than 0
   * @return a number from 0 to {@code size - 1}
   */
  default int nextIndex(int size) {
    return (int) Long.remainderUnsigned(nextLong(), size);
  }

  /**
   * Returns a random fraction.
   *
   * @return a number from 0 (included) to 1 (excluded)
   */
  default double nextDouble() {
    return (nextLong() >>> 11) * 0x1.0p-53;
  }
}
