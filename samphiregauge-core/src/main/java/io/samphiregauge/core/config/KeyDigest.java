package io.samphiregauge.core.config;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Digests keys, so that neither the log nor an entry holds a key in plain text. */
public final class KeyDigest {
  private KeyDigest() {}

  /**
   * Digests a key.
   *
   * @param key the key as the caller sends it
   * @return its SHA-256 digest, as lower-case hex
   */
  public static String of(String key) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(digest.digest(key.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new AssertionError("every Java platform has SHA-256", e);
    }
  }
}
