package io.samphiregauge.core.dispatch;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/** Highest-random-weight hashing. */
final class Rendezvous {
  private static final long GOLDEN = 0x9E3779B97F4A7C15L;

  private Rendezvous() {}

  /** Returns the rank of a server for a key; the server with the highest rank is its home. */
  static long rank(String key, String server) {
    return mix(crc(key) * GOLDEN ^ mix(crc(server)));
  }

  private static long crc(String text) {
    CRC32C crc = new CRC32C();
    crc.update(text.getBytes(StandardCharsets.UTF_8));
    return crc.getValue();
  }

  /** Spreads the bits, as the finalizer of SplitMix64 does. */
  private static long mix(long value) {
    long z = (value ^ (value >>> 30)) * 0xBF58476D1CE4E5B9L;
    z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
    return z ^ (z >>> 31);
  }
}
