package io.samphiregauge.core.duty;

import io.samphiregauge.schema.gateway.SealedUsage;
import io.samphiregauge.schema.gateway.UsageRecord;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;

/**
 * Aggregates request counts by usage window, process and team. Each process counts its own requests
 * with {@link #count}; the duty holder merges the records of all processes with {@link #merge}. Not
 * thread-safe.
 *
 * <p>Records contain cumulative counts, so that duplicate and delayed records have no effect: of
 * two counts for the same process, team and window, the greater one is the newer one.
 */
public final class UsageAggregator {
  /** Number of windows to keep: those not reported yet, and some more for delayed records. */
  private static final int MAX_WINDOWS = 8;

  /** Number of windows in a record; earlier records contained the older ones. */
  private static final int WINDOWS_PER_RECORD = 3;

  /**
   * A process that counted in any of this many preceding windows is expected to count in a window.
   */
  private static final int LOOKBACK_WINDOWS = 2;

  private final TreeMap<Long, Map<ProcessKey, Map<String, Long>>> windows = new TreeMap<>();
  private final Map<String, Long> newestStartMsByVm = new HashMap<>();

  /**
   * Identifies a process that counts requests.
   *
   * @param vm identifier of its VM
   * @param startMs start time of the process, in milliseconds since the epoch
   */
  public record ProcessKey(String vm, long startMs) {}

  /**
   * Counts a request that started to run.
   *
   * @param process process that ran the request
   * @param window number of the window
   * @param team team to which the request is charged
   */
  public void count(ProcessKey process, long window, String team) {
    counts(process, window).merge(team, 1L, Long::sum);
    trim();
  }

  /**
   * Merges the counts of another process.
   *
   * @param record usage record of the process
   * @param newestWindow windows after this one are ignored, because they would replace the present
   *     ones
   */
  public void merge(UsageRecord record, long newestWindow) {
    ProcessKey process = new ProcessKey(record.getVm(), record.getBoot());
    newestStartMsByVm.merge(process.vm(), process.startMs(), Math::max);
    for (SealedUsage usage : record.getWindows()) {
      if (usage.getWindow() <= newestWindow) {
        Map<String, Long> counts = counts(process, usage.getWindow());
        usage.getCounts().entrySet().stream()
            .filter(entry -> Objects.requireNonNullElse(entry.getValue(), 0L) > 0)
            .forEach(entry -> counts.merge(entry.getKey(), entry.getValue(), Math::max));
      }
    }
    trim();
  }

  /**
   * Returns the windows to include in the next usage record of a process.
   *
   * @param process the process
   * @return the most recent windows with the counts of the process, oldest first
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
   * Returns the total counts of a window over all processes.
   *
   * @param window number of the window
   * @return number of requests that started to run, by team
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
   * Returns whether the counts of a window are complete. They are complete if each process that
   * counted requests in the window, or in one of the two windows before it, has written counts of a
   * later window or was replaced by a newer process on its VM, after which it writes no more.
   *
   * @param window number of the window
   * @return true if no known process may still have unwritten counts of the window
   */
  public boolean isComplete(long window) {
    Set<ProcessKey> active = new HashSet<>();
    windows
        .subMap(window - LOOKBACK_WINDOWS, true, window, true)
        .values()
        .forEach(counts -> active.addAll(counts.keySet()));
    active.removeIf(
        process -> process.startMs() < newestStartMsByVm.getOrDefault(process.vm(), 0L));
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
