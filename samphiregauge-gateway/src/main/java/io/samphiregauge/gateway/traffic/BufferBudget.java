package io.samphiregauge.gateway.traffic;

/**
 * Limits the bytes of responses that are buffered at the same time, so that servers that send
 * without end cannot use up the memory of the entry. Confined to one event loop.
 */
final class BufferBudget {
  /** Maximum for all responses together: a quarter of the 64 MB of direct memory. */
  static final long MAX_TOTAL_BYTES = 16 * 1024 * 1024;

  /** Maximum for one response. */
  static final long MAX_RESPONSE_BYTES = 4 * 1024 * 1024;

  private long usedBytes;

  /**
   * Reserves bytes for a response.
   *
   * @param bytes additional bytes
   * @param heldBytes bytes that the response has reserved already
   * @return whether the bytes were reserved; false if a limit would be exceeded
   */
  boolean tryReserve(long bytes, long heldBytes) {
    if (heldBytes + bytes > MAX_RESPONSE_BYTES || usedBytes + bytes > MAX_TOTAL_BYTES) {
      return false;
    }
    usedBytes += bytes;
    return true;
  }

  void release(long bytes) {
    usedBytes -= bytes;
  }
}
