package io.samphiregauge.core.ticket;

/**
 * Bounds of one book.
 *
 * @param firstUseMs time after the issue in which a ticket must be used first
 * @param recordMs time for which an outcome is kept
 * @param maxTickets greatest number of tickets, used and unused
 * @param maxResponseBytes largest answer that is kept
 * @param maxTotalBytes sum of the answers kept and of the room reserved for running requests
 * @param maxWaiters greatest number of callers that wait for one request
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

  /** Checks that records outlive the first use, so that no ticket can be used twice. */
  public TicketLimits {
    if (recordMs < firstUseMs) {
      throw new IllegalArgumentException(
          "recordMs %d is less than firstUseMs %d".formatted(recordMs, firstUseMs));
    }
    if (maxTickets < 1
        || maxResponseBytes < 0
        || maxTotalBytes < maxResponseBytes
        || maxWaiters < 1) {
      throw new IllegalArgumentException("a limit of the tickets leaves no room for any ticket");
    }
  }

  /**
   * Divides the bounds of a process between its books.
   *
   * @param partitions number of books, greater than 0
   * @return bounds of each book
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
