package io.samphiregauge.core;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/** A hash of texts that is the same in all processes. */
public final class TextHash {
  private TextHash() {}

  /**
   * Hashes a text.
   *
   * @param text the text
   * @return its CRC-32C
   */
  public static int crc32c(String text) {
    CRC32C crc = new CRC32C();
    crc.update(text.getBytes(StandardCharsets.UTF_8));
    return (int) crc.getValue();
  }
}
