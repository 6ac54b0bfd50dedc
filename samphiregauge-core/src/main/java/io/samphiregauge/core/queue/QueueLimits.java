package io.samphiregauge.core.queue;

/**
 * Bounds of what waits in front of one service.
 *
 * @param maxRequests maximum number of requests
 * @param maxBytes maximum bytes of their bodies
 */
public record QueueLimits(int maxRequests, long maxBytes) {
  /** Part of the memory of an entry that bodies of waiting requests of one service may take. */
  private static final int MEMORY_DIVISOR = 16;

  /** Memory that the objects of one waiting request and its connection take. */
  private static final long REQUEST_OVERHEAD_BYTES = 16 * 1024;

  /**
   * Returns the bounds for an entry.
   *
   * @param memoryBytes memory that the process may use
   */
  public static QueueLimits forMemory(long memoryBytes) {
    long bytes = memoryBytes / MEMORY_DIVISOR;
    return new QueueLimits((int) Math.max(1, bytes / REQUEST_OVERHEAD_BYTES), bytes);
  }
}
