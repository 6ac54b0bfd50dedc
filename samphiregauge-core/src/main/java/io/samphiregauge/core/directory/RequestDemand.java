package io.samphiregauge.core.directory;

/**
 * What an average request needs of an entry.
 *
 * @param processorMs time of a core of the usual speed, in milliseconds
 * @param linkKbits data in the busier direction of the link, in kilobits
 * @param memoryKbS memory times the seconds for which it is held, in kilobytes
 * @param fdS descriptors times the seconds for which they are open
 */
public record RequestDemand(double processorMs, double linkKbits, double memoryKbS, double fdS) {
  /** A request before any was measured: a prompt of a few kilobytes and a short stream. */
  public static final RequestDemand USUAL = new RequestDemand(3, 35, 100, 2);

  private static final double KBITS_PER_BYTE = 8 / 1_000.0;

  /** Weight of the newest measurement. */
  private static final double SMOOTHING = 0.2;

  /**
   * Returns the demand after a measurement of the link.
   *
   * @param requests requests in the measured time, at least 1
   * @param bytes bytes in the busier direction of the link in that time
   * @return the smoothed demand
   */
  public RequestDemand withMeasuredBytes(long requests, long bytes) {
    double measuredKbits = Math.max(1, bytes * KBITS_PER_BYTE / (double) requests);
    return new RequestDemand(
        processorMs, linkKbits + SMOOTHING * (measuredKbits - linkKbits), memoryKbS, fdS);
  }
}
