package io.samphiregauge.core.dispatch;

import io.samphiregauge.core.TextHash;
import java.util.List;
import java.util.Optional;

/**
 * Selects servers by rendezvous (highest random weight) hashing, so that all entries make the same
 * selection without coordination.
 */
final class RendezvousHash {
  private static final long GOLDEN_RATIO = 0x9E3779B97F4A7C15L;

  private RendezvousHash() {}

  /**
   * Selects the server for a key.
   *
   * @param key the key
   * @param servers the candidates, in any order
   * @return the server with the highest weight, or empty without candidates
   */
  static Optional<ServerLoad> select(String key, List<ServerLoad> servers) {
    Optional<ServerLoad> selected = Optional.empty();
    double highest = 0;
    for (ServerLoad load : servers) {
      double weight = weight(key, load.server().id());
      if (selected.isEmpty() || weight > highest) {
        selected = Optional.of(load);
        highest = weight;
      }
    }
    return selected;
  }

  /**
   * Returns a weight between 0 and 1, both excluded, that depends only on the key and the server.
   */
  private static double weight(String key, String server) {
    long hash = mix(hash(key) * GOLDEN_RATIO ^ mix(hash(server)));
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
