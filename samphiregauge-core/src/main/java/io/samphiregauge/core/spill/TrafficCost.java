package io.samphiregauge.core.spill;

/**
 * What traffic between failure domains costs, expressed in waiting time of callers, so that it can
 * be compared with the time that it saves.
 *
 * @param gigabyteS waiting time that is worth a gigabyte of requests and responses, in seconds
 * @param kvGigabyteS waiting time that is worth a gigabyte of KV cache that engines send to each
 *     other, in seconds
 */
public record TrafficCost(double gigabyteS, double kvGigabyteS) {
  /**
   * Cost of a gigabyte of KV cache if none is set. A prompt of 17,000 tokens with 330 KB each then
   * costs 110 ms, half of the time in which an engine of that kind computes it again.
   */
  public static final double DEFAULT_KV_GIGABYTE_S = 0.02;

  /** Headers of a request and its response, and the response's body of a few hundred bytes. */
  static final long OVERHEAD_BYTES = 1_000;

  private static final double MS_PER_S = 1_000;
  private static final double BYTES_PER_GIGABYTE = 1e9;

  /**
   * Returns the cost of handling a request in another failure domain.
   *
   * @param bodyBytes size of the request's body
   * @return the cost in milliseconds
   */
  public double requestMs(long bodyBytes) {
    return (bodyBytes + OVERHEAD_BYTES) / BYTES_PER_GIGABYTE * gigabyteS * MS_PER_S;
  }

  /**
   * Returns the cost of sending KV cache to an engine of another failure domain.
   *
   * @param bytes size of the KV cache
   * @return the cost in milliseconds
   */
  public double kvMs(double bytes) {
    return bytes / BYTES_PER_GIGABYTE * kvGigabyteS * MS_PER_S;
  }
}
