package io.samphiregauge.core.duty;

import io.samphiregauge.schema.gateway.SealedUsage;
import io.samphiregauge.schema.gateway.UsageRecord;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Counts of usage windows. A process counts its own requests with {@link #count}; the holder of the
 * duty merges the records of all processes with {@link #merge}. Used by one thread.
 *
 * <p>A record holds the counts of its process so far, so that one that arrives twice or late does
 * no harm: of two counts of a process, team and window the greater one is the newer one.
 */
public final class UsageAggregator {
  /** Windows that are kept: those not reported yet, and some for late records. */
  private static final int MAX_WINDOWS = 8;

  /** Windows that a record carries; older ones were in the records before. */
  private static final int WINDOWS_PER_RECORD = 3;

  /** Windows before one in which a process counted that should also have counted in it. */
  private static final int LOOKBACK_WINDOWS = 2;

  private final TreeMap<Long, Map<ProcessKey, Map<String, Long>>> windows = new TreeMap<>();
  private final Map<String, Long> newestBoots = new HashMap<>();

  /**
   * A process that counts.
   *
   * @param vm its VM
   * @param boot its start, in milliseconds since 1970
   */
  public record ProcessKey(String vm, long boot) {}

  /**
   * Counts a request that began to run.
   *
   * @param process the process that counts
   * @param window number of the window
   * @param team team that is charged
   */
  public void count(ProcessKey process, long window, String team) {
    counts(process, window).merge(team, 1L, Long::sum);
    trim();
  }

  /**
   * Merges a record of a process.
   *
   * @param record the record
   */
  public void merge(UsageRecord record) {
    ProcessKey process = new ProcessKey(record.getVm(), record.getBoot());
    newestBoots.merge(process.vm(), process.boot(), Math::max);
    for (SealedUsage usage : record.getWindows()) {
      Map<String, Long> counts = counts(process, usage.getWindow());
      usage.getCounts().forEach((team, count) -> counts.merge(team, count, Math::max));
    }
    trim();
  }

  /**
   * Returns the newest windows of a process, as its record carries them.
   *
   * @param process the process
   * @return windows with their counts, oldest first
   */
  public List<SealedUsage> recentWindows(ProcessKey process) {
    List<SealedUsage> recent = new ArrayList<>();
    for (Map.Entry<Long, Map<ProcessKey, Map<String, Long>>> window :
        windows.descendingMap().entrySet()) {
      if (recent.size() == WINDOWS_PER_RECORD) {
        break;
      }
      Map<String, Long> counts = window.getValue().getOrDefault(process, Map.of());
      recent.add(0, new SealedUsage(window.getKey(), new TreeMap<>(counts)));
    }
    return recent;
  }

  /**
   * Sums a window over all processes.
   *
   * @param window number of the window
   * @return requests that began to run, by team
   */
  public SealedUsage total(long window) {
    Map<String, Long> total = new TreeMap<>();
    windows
        .getOrDefault(window, Map.of())
        .values()
        .forEach(counts -> counts.forEach((team, count) -> total.merge(team, count, Long::sum)));
    return new SealedUsage(window, total);
  }

  /**
   * Returns whether the counts of a window are whole: each process that counted in it, or in the
   * two windows before it, has already written counts of a later one, or has been followed by
   * another process on its VM and writes nothing more.
   *
   * @param window number of the window
   * @return whether no process is known whose counts may be missing
   */
  public boolean isComplete(long window) {
    Set<ProcessKey> active = new HashSet<>();
    windows
        .subMap(window - LOOKBACK_WINDOWS, true, window, true)
        .values()
        .forEach(counts -> active.addAll(counts.keySet()));
    active.removeIf(process -> process.boot() < newestBoots.getOrDefault(process.vm(), 0L));
    Set<ProcessKey> later = new HashSet<>();
    windows.tailMap(window, false).values().forEach(counts -> later.addAll(counts.keySet()));
    return later.containsAll(active);
  }

  private Map<String, Long> counts(ProcessKey process, long window) {
    return windows
        .computeIfAbsent(window, key -> new HashMap<>())
        .computeIfAbsent(process, key -> new HashMap<>());
  }

  private void trim() {
    while (windows.size() > MAX_WINDOWS) {
      windows.pollFirstEntry();
    }
  }
}
