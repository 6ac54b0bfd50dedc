package io.samphiregauge.core.ticket;

/**
 * Limits of one {@link TicketTable}.
 *
 * @param firstUseMs time after issue within which a ticket must be used first
 * @param recordMs time after settlement for which an outcome is kept
 * @param maxTickets maximum number of tickets, used and unused
 * @param maxResponseBytes maximum size of a recorded response
 * @param maxTotalBytes maximum sum of recorded responses and of {@code maxResponseBytes} for each
 *     running request
 * @param maxWaiters maximum number of callers waiting for one request
 */
public record TicketLimits(
    long firstUseMs,
    long recordMs,
    int maxTickets,
    int maxResponseBytes,
    long maxTotalBytes,
    int maxWaiters) {
  private static final long FIRST_USE_MS = 120_000;
  private static final long RECORD_MS = 600_000;
  private static final int MAX_TICKETS = 65_536;
  private static final int MAX_RESPONSE_BYTES = 65_536;
  private static final long MAX_TOTAL_BYTES = 32L << 20;
  private static final int MAX_WAITERS = 16;

  /** Checks that records outlive the time for the first use, so that no ticket can run twice. */
  public TicketLimits {
    if (recordMs < firstUseMs) {
      throw new IllegalArgumentException(
          "recordMs %d is less than firstUseMs %d".formatted(recordMs, firstUseMs));
    }
    if (maxTickets < 1
        || maxResponseBytes < 0
        || maxTotalBytes < maxResponseBytes
        || maxWaiters < 1) {
      throw new IllegalArgumentException(
          ("limits allow no ticket: maxTickets %d, maxResponseBytes %d, "
                  + "maxTotalBytes %d, maxWaiters %d")
              .formatted(maxTickets, maxResponseBytes, maxTotalBytes, maxWaiters));
    }
  }

  /**
   * Divides the limits of a process among its tables.
   *
   * @param partitions number of tables, greater than 0
   * @return limits of each table
   */
  public static TicketLimits perPartition(int partitions) {
    return new TicketLimits(
        FIRST_USE_MS,
        RECORD_MS,
        Math.max(1, MAX_TICKETS / partitions),
        MAX_RESPONSE_BYTES,
        Math.max(MAX_RESPONSE_BYTES, MAX_TOTAL_BYTES / partitions),
        MAX_WAITERS);
  }
}
