package io.samphiregauge.core.suspect;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Digests requests, so that entries recognise a request that a caller sends again. */
public final class Fingerprint {
  private Fingerprint() {}

  /**
   * Digests a request.
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
      throw new AssertionError("every Java platform has SHA-256", e);
    }
  }

  /** The length comes first, so that two splits of the same bytes differ. */
  private static void add(MessageDigest digest, byte[] part) {
    digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(part.length).array());
    digest.update(part);
  }
}
