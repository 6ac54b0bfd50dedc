package io.samphiregauge.core.suspect;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Computes digests of requests, by which entries recognise a request that a caller repeats. */
public final class Fingerprint {
  private Fingerprint() {}

  /**
   * Computes the digest of a request.
   *
   * @param team team of the request
   * @param route method and path
   * @param body body of the request
   * @return SHA-256 digest, as lower-case hex
   */
  public static String of(String team, String route, byte[] body) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      add(digest, team.getBytes(StandardCharsets.UTF_8));
      add(digest, route.getBytes(StandardCharsets.UTF_8));
      add(digest, body);
      return HexFormat.of().formatHex(digest.digest());
    } catch (NoSuchAlgorithmException e) {
      throw new AssertionError("SHA-256 is required of every Java platform", e);
    }
  }

  /** Prefixes the part with its length, so that different splits of the same bytes differ. */
  private static void add(MessageDigest digest, byte[] part) {
    digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(part.length).array());
    digest.update(part);
  }
}
