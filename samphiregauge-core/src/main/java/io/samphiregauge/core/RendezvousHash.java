package io.samphiregauge.core;

import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/**
 * Selects servers or entries by rendezvous (highest random weight) hashing, so that all entries
 * make the same selection without coordination.
 */
public final class RendezvousHash {
  private static final long GOLDEN_RATIO = 0x9E3779B97F4A7C15L;

  private RendezvousHash() {}

  /**
   * Selects the candidate for a key.
   *
   * @param key the key
   * @param candidates the candidates, in any order
   * @param name returns the name of a candidate
   * @param <T> type of the candidates
   * @return the candidate with the highest weight, or empty without candidates
   */
  public static <T> Optional<T> select(
      String key, List<T> candidates, Function<? super T, String> name) {
    Optional<T> selected = Optional.empty();
    double highest = 0;
    for (T candidate : candidates) {
      double weight = weight(key, name.apply(candidate));
      if (selected.isEmpty() || weight > highest) {
        selected = Optional.of(candidate);
        highest = weight;
      }
    }
    return selected;
  }

  /**
   * Returns the weight of a candidate.
   *
   * @param key the key
   * @param name name of the candidate
   * @return number between 0 and 1, both excluded, that depends only on the key and the name
   */
  public static double weight(String key, String name) {
    long hash = mix(hash(key) * GOLDEN_RATIO ^ mix(hash(name)));
    return ((hash >>> 11) + 0.5) * 0x1.0p-53;
  }

  private static long hash(String text) {
    return Integer.toUnsignedLong(TextHash.crc32c(text));
  }

  /** Mixes the bits with the finalizer of SplitMix64. */
  private static long mix(long value) {
    long z = (value ^ (value >>> 30)) * 0xBF58476D1CE4E5B9L;
    z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
    return z ^ (z >>> 31);
  }
}
