package io.samphiregauge.net;

import java.util.Comparator;
import java.util.TreeSet;

/**
 * The memory that the request bodies of all connections of one event loop share. A body waits until
 * it fits; among those that wait, the smallest comes first. Confined to that event loop.
 */
final class BodyMemory {
  /** Largest claim that may use the part of the memory that is kept for small bodies. */
  static final int SMALL_BYTES = 64 * 1024;

  /** Part of the memory that large bodies may use. */
  private static final double LARGE_SHARE = 0.75;

  private static final Comparator<Claim> SMALLEST_FIRST =
      Comparator.comparingLong(Claim::bytes).thenComparingLong(Claim::number);

  private final long capacityBytes;
  private final TreeSet<Claim> waiting = new TreeSet<>(SMALLEST_FIRST);
  private long usedBytes;
  private long claims;

  /**
   * Memory that a body waits for.
   *
   * @param number order in which the claims were made
   * @param bytes size in bytes
   * @param onGranted runs once the memory is reserved
   */
  record Claim(long number, long bytes, Runnable onGranted) {}

  /**
   * Creates an unused memory.
   *
   * @param capacityBytes bytes that all bodies together may use
   */
  BodyMemory(long capacityBytes) {
    this.capacityBytes = capacityBytes;
  }

  /**
   * Reserves memory if it is free.
   *
   * @param bytes size in bytes
   * @return whether it is reserved; the caller must release it
   */
  boolean tryReserve(long bytes) {
    if (!fits(bytes)) {
      return false;
    }
    usedBytes += bytes;
    return true;
  }

  private boolean fits(long bytes) {
    double limit = bytes <= SMALL_BYTES ? capacityBytes : capacityBytes * LARGE_SHARE;
    // A body that exceeds the limit alone is received while no other one is.
    return usedBytes + bytes <= limit || usedBytes == 0;
  }

  /**
   * Waits for memory.
   *
   * @param bytes size in bytes
   * @param onGranted runs once the memory is reserved
   * @return the claim, to cancel it
   */
  Claim await(long bytes, Runnable onGranted) {
    Claim claim = new Claim(claims++, bytes, onGranted);
    waiting.add(claim);
    return claim;
  }

  /** Withdraws a claim; returns whether it was still waiting. */
  boolean cancel(Claim claim) {
    return waiting.remove(claim);
  }

  /**
   * Releases reserved memory, and grants it to the claims that fit.
   *
   * @param bytes size in bytes
   */
  void release(long bytes) {
    usedBytes -= bytes;
    while (!waiting.isEmpty() && tryReserve(waiting.first().bytes())) {
      waiting.pollFirst().onGranted().run();
    }
  }

  /** Returns the reserved bytes. */
  long usedBytes() {
    return usedBytes;
  }
}
