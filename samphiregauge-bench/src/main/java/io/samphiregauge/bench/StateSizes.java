package io.samphiregauge.bench;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;

/** Prints the heap size of the folded state and of the ticket table, each at three sizes. */
public final class StateSizes {
  private static final Logger LOG = System.getLogger(StateSizes.class.getName());
  private static final int COPIES = 64;

  private StateSizes() {}

  /**
   * Runs the measurement.
   *
   * @param args not used
   */
  public static void main(String[] args) {
    printStateSizes();
    printTicketSizes();
  }

  private static void printTicketSizes() {
    for (int kept : List.of(1_000, 10_000, 50_000)) {
      long beforeBytes = usedBytes();
      TicketBenchmark benchmark = new TicketBenchmark();
      benchmark.kept = kept;
      benchmark.fill();
      long heapBytes = usedBytes() - beforeBytes;
      LOG.log(
          Level.INFO,
          "tickets={0} heap_bytes={1} last={2}",
          kept,
          heapBytes,
          benchmark.runOne().isPresent());
    }
  }

  private static void printStateSizes() {
    for (String size : List.of("8/8/12", "64/225/310", "560/1800/3100")) {
      FoldBenchmark benchmark = new FoldBenchmark();
      benchmark.size = size;
      benchmark.fold();
      Object[] copies = new Object[COPIES];
      long beforeBytes = usedBytes();
      for (int i = 0; i < COPIES; i++) {
        copies[i] = benchmark.restoreCheckpoint();
      }
      long heapBytes = (usedBytes() - beforeBytes) / copies.length;
      LOG.log(
          Level.INFO,
          "size={0} checkpoint_bytes={1} heap_bytes={2}",
          size,
          benchmark.checkpointBytes(),
          heapBytes);
    }
  }

  private static long usedBytes() {
    System.gc();
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
