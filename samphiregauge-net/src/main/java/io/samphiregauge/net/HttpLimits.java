package io.samphiregauge.net;

/**
 * Limits of what a caller may send, and of the time it may take.
 *
 * @param maxHeaderBytes largest request head
 * @param maxBodyBytes largest request body
 * @param headTimeoutMs time to finish a head, from the first byte or from the connection's start
 * @param bodyTimeoutMs time to finish a body, from the end of the head
 * @param idleTimeoutMs time that a connection may stay open between two requests
 */
public record HttpLimits(
    int maxHeaderBytes, int maxBodyBytes, int headTimeoutMs, int bodyTimeoutMs, int idleTimeoutMs) {
  private static final int DEFAULT_HEADER_BYTES = 16 * 1024;
  private static final int DEFAULT_BODY_BYTES = 8 * 1024 * 1024;
  private static final int DEFAULT_HEAD_TIMEOUT_MS = 10_000;
  private static final int DEFAULT_BODY_TIMEOUT_MS = 30_000;
  private static final int DEFAULT_IDLE_TIMEOUT_MS = 60_000;

  /**
   * Returns the limits that hold where the settings state none.
   *
   * @return default limits
   */
  public static HttpLimits defaults() {
    return new HttpLimits(
        DEFAULT_HEADER_BYTES,
        DEFAULT_BODY_BYTES,
        DEFAULT_HEAD_TIMEOUT_MS,
        DEFAULT_BODY_TIMEOUT_MS,
        DEFAULT_IDLE_TIMEOUT_MS);
  }
}
