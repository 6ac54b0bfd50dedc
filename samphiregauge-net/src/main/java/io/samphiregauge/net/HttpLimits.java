package io.samphiregauge.net;

/**
 * Size and time limits of the requests of callers. Sizes are in bytes, times in milliseconds.
 *
 * @param maxHeaderBytes largest request head
 * @param maxBodyBytes largest request body
 * @param headTimeoutMs time to receive a whole head, counted from its first byte, or for the first
 *     head from the opening of the connection
 * @param bodyTimeoutMs time to receive a whole body, counted from the end of the head
 * @param idleTimeoutMs longest time between two requests before the connection is closed
 * @param bodyMemoryBytes memory for the bodies of all requests that are received or handled at the
 *     same time
 */
public record HttpLimits(
    int maxHeaderBytes,
    int maxBodyBytes,
    int headTimeoutMs,
    int bodyTimeoutMs,
    int idleTimeoutMs,
    long bodyMemoryBytes) {
  private static final int DEFAULT_HEADER_BYTES = 16 * 1024;
  private static final int DEFAULT_BODY_BYTES = 8 * 1024 * 1024;
  private static final int DEFAULT_HEAD_TIMEOUT_MS = 10_000;
  private static final int DEFAULT_BODY_TIMEOUT_MS = 30_000;
  private static final int DEFAULT_IDLE_TIMEOUT_MS = 60_000;

  /**
   * Returns the limits that apply if the settings define none.
   *
   * @return 16 KiB head, 8 MiB body; 10 s for the head, 30 s for the body, 60 s idle; half of the
   *     memory of the process for bodies
   */
  public static HttpLimits defaults() {
    return new HttpLimits(
        DEFAULT_HEADER_BYTES,
        DEFAULT_BODY_BYTES,
        DEFAULT_HEAD_TIMEOUT_MS,
        DEFAULT_BODY_TIMEOUT_MS,
        DEFAULT_IDLE_TIMEOUT_MS,
        defaultBodyMemoryBytes());
  }

  /**
   * Returns these limits with other sizes.
   *
   * @param headerBytes largest request head, in bytes
   * @param bodyBytes largest request body, in bytes
   * @return the limits
   */
  public HttpLimits withSizes(int headerBytes, int bodyBytes) {
    return new HttpLimits(
        headerBytes, bodyBytes, headTimeoutMs, bodyTimeoutMs, idleTimeoutMs, bodyMemoryBytes);
  }

  /**
   * Returns the memory for bodies that the size of the process allows.
   *
   * @return half of the direct memory, which by default is as large as the heap; the other half is
   *     left to responses and to the buffers of the sockets
   */
  public static long defaultBodyMemoryBytes() {
    return Runtime.getRuntime().maxMemory() / 2;
  }
}
