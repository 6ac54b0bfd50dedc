package io.samphiregauge.core.config;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Computes digests of API keys, so that neither the log nor an entry stores keys in plain text. */
public final class KeyDigest {
  private KeyDigest() {}

  /**
   * Returns the digest of a key.
   *
   * @param key key as sent by the caller
   * @return its SHA-256 digest, in lower-case hex
   */
  public static String of(String key) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(digest.digest(key.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new AssertionError(
          "SHA-256 is not available, although every Java platform must provide it", e);
    }
  }
}
