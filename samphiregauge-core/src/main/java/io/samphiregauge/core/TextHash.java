package io.samphiregauge.core;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/** Hashes strings; the hash of a string is the same in every process. */
public final class TextHash {
  private TextHash() {}

  /**
   * Returns the CRC-32C checksum of the UTF-8 encoding of a string.
   *
   * @param text string to hash
   * @return the checksum
   */
  public static int crc32c(String text) {
    CRC32C crc = new CRC32C();
    crc.update(text.getBytes(StandardCharsets.UTF_8));
    return (int) crc.getValue();
  }
}
