package io.samphiregauge.core.dispatch;

import io.samphiregauge.core.TextHash;
import java.util.List;
import java.util.Optional;

/** Highest-random-weight hashing, by which all entries agree without talking. */
final class Rendezvous {
  private static final long GOLDEN = 0x9E3779B97F4A7C15L;

  private Rendezvous() {}

  /**
   * Finds the home of a key.
   *
   * @param key the key
   * @param servers the candidates
   * @return the server with the highest rank
   */
  static Optional<ServerLoad> home(String key, List<ServerLoad> servers) {
    Optional<ServerLoad> home = Optional.empty();
    double highest = 0;
    for (ServerLoad load : servers) {
      double rank = draw(key, load.server().id());
      if (home.isEmpty() || rank > highest) {
        home = Optional.of(load);
        highest = rank;
      }
    }
    return home;
  }

  /** Returns a fraction between 0 and 1 that only the key and the server decide. */
  private static double draw(String key, String server) {
    long hash = mix(hash(key) * GOLDEN ^ mix(hash(server)));
    return ((hash >>> 11) + 0.5) * 0x1.0p-53;
  }

  private static long hash(String text) {
    return Integer.toUnsignedLong(TextHash.crc32c(text));
  }

  /** Spreads the bits, as the finalizer of SplitMix64 does. */
  private static long mix(long value) {
    long z = (value ^ (value >>> 30)) * 0xBF58476D1CE4E5B9L;
    z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
    return z ^ (z >>> 31);
  }
}
