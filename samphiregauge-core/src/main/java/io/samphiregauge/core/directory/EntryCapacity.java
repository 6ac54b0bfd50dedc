package io.samphiregauge.core.directory;

/**
 * What the VM of an entry can bear, from the settings of the deployment.
 *
 * @param cores processor, in cores of the usual speed
 * @param linkMbps bandwidth of its link, in megabits per second
 * @param memoryMb memory of the process, in megabytes
 * @param maxFds descriptors that the process may open
 */
public record EntryCapacity(double cores, double linkMbps, int memoryMb, int maxFds) {
  private static final double MS_PER_S = 1_000;
  private static final double KBITS_PER_MBIT = 1_000;
  private static final double KB_PER_MB = 1_000;

  /** Memory that a process needs without requests: heap, classes and stacks. */
  private static final int BASE_MEMORY_MB = 150;

  /** Descriptors that a process needs without requests. */
  private static final int BASE_FDS = 400;

  /**
   * Returns how many requests per second the VM can bear.
   *
   * @param demand what a request needs
   * @return the rate at which the first of its resources is used up; above 0
   */
  public double requestsPerS(RequestDemand demand) {
    double byProcessor = cores * MS_PER_S / demand.processorMs();
    double byLink = linkMbps * KBITS_PER_MBIT / demand.linkKbits();
    double byMemory = Math.max(1, memoryMb - BASE_MEMORY_MB) * KB_PER_MB / demand.memoryKbS();
    double byFds = Math.max(1, maxFds - BASE_FDS) / demand.fdS();
    return Math.min(Math.min(byProcessor, byLink), Math.min(byMemory, byFds));
  }
}
