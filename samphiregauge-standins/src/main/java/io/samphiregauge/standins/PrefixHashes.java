package io.samphiregauge.standins;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Computes the hashes of the prefixes of a prompt, as defined in docs/protocols.md (64-bit FNV-1a).
 */
final class PrefixHashes {
  static final int BLOCK_BYTES = 256;
  static final int BLOCK_TOKENS = 64;

  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private PrefixHashes() {}

  /**
   * Returns one hash per complete block; each covers the model and the prompt up to the end of the
   * block.
   */
  static List<String> of(String model, String prompt) {
    long hash = FNV_OFFSET;
    for (byte b : model.getBytes(StandardCharsets.UTF_8)) {
      hash = (hash ^ (b & 0xff)) * FNV_PRIME;
    }
    byte[] bytes = prompt.getBytes(StandardCharsets.UTF_8);
    List<String> hashes = new ArrayList<>();
    for (int i = 0; i < bytes.length; i++) {
      hash = (hash ^ (bytes[i] & 0xff)) * FNV_PRIME;
      if ((i + 1) % BLOCK_BYTES == 0) {
        hashes.add("%016x".formatted(hash));
      }
    }
    return hashes;
  }
}
