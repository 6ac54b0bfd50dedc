package io.samphiregauge.core.log;

import io.samphiregauge.core.config.ConfigView;
import io.samphiregauge.schema.record.Checkpoint;
import io.samphiregauge.schema.record.Incarnation;
import io.samphiregauge.schema.record.LastOrderer;
import io.samphiregauge.schema.record.LeaseState;
import io.samphiregauge.schema.record.MissingUsage;
import io.samphiregauge.schema.record.OpenIntent;
import io.samphiregauge.schema.record.PieceTable;
import io.samphiregauge.schema.record.ProcessState;
import io.samphiregauge.schema.record.SealedWindow;
import io.samphiregauge.schema.record.WindowState;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * The state computed from the log up to an offset; immutable.
 *
 * @param upToOffset offset of the last applied record, or -1
 * @param noteOffset offset of the last accepted note, or -1
 * @param config current configuration
 * @param leases leases by role
 * @param processes newest process of each VM, by VM identifier
 * @param openIntents order intents whose result is not recorded yet, by offset
 * @param windows sealed usage windows that are not reported yet, by region and window number
 * @param lastSealedWindows number of the newest sealed window, by region
 * @param pieces assignment of capacity pieces to entries, by region
 * @param lastOrderers by target, the last lease holder that recorded an order intent for it;
 *     removed when that holder releases its lease, since until then its orders may still be in
 *     flight
 * @param missingUsage counters that were missing when their window was sealed
 */
public record FoldedState(
    long upToOffset,
    long noteOffset,
    ConfigView config,
    Map<String, LeaseState> leases,
    Map<String, ProcessState> processes,
    Map<Long, OpenIntent> openIntents,
    Map<WindowKey, WindowState> windows,
    Map<String, Long> lastSealedWindows,
    Map<String, PieceTable> pieces,
    Map<String, LastOrderer> lastOrderers,
    List<MissingUsage> missingUsage) {

  /** Offset used when there is no record. */
  public static final long NO_OFFSET = -1;

  /** Region and number of a usage window. */
  public record WindowKey(String region, long window) implements Comparable<WindowKey> {
    @Override
    public int compareTo(WindowKey other) {
      int byRegion = region.compareTo(other.region);
      return byRegion != 0 ? byRegion : Long.compare(window, other.window);
    }
  }

  /**
   * Returns the state before the first record.
   *
   * @return the empty state
   */
  public static FoldedState empty() {
    return new FoldedState(
        NO_OFFSET,
        NO_OFFSET,
        ConfigView.empty(),
        Map.of(),
        Map.of(),
        Map.of(),
        Map.of(),
        Map.of(),
        Map.of(),
        Map.of(),
        List.of());
  }

  /**
   * Returns a state that has only a configuration and processes.
   *
   * @param config current configuration
   * @param processes newest process of each VM
   * @return the state at offset 1
   */
  public static FoldedState of(ConfigView config, Map<String, ProcessState> processes) {
    return empty().withOffset(1).withNote(1, config).withProcesses(processes);
  }

  /**
   * Returns the state of a lease.
   *
   * @param role role of the lease, such as {@code fleet/luzon}
   * @return the lease, released or not, or empty if it was never claimed
   */
  public Optional<LeaseState> lease(String role) {
    return Optional.ofNullable(leases.get(role));
  }

  /**
   * Returns the newest process of a VM.
   *
   * @param vm identifier of the VM
   * @return the process, ended or not, or empty if none has joined
   */
  public Optional<ProcessState> process(String vm) {
    return Optional.ofNullable(processes.get(vm));
  }

  /**
   * Returns whether an incarnation has joined and has not ended.
   *
   * @param incarnation the incarnation
   * @return true if it is the newest one of its VM and has not ended
   */
  public boolean isLive(Incarnation incarnation) {
    return process(incarnation.getVm())
        .filter(state -> state.getIncarnation().equals(incarnation) && !state.isEnded())
        .isPresent();
  }

  /**
   * Returns whether an incarnation is known to have ended.
   *
   * @param incarnation the incarnation
   * @return true if its end, or a newer process of its VM, was recorded in the log
   */
  public boolean hasEnded(Incarnation incarnation) {
    return process(incarnation.getVm())
        .filter(
            state ->
                state.getIncarnation().equals(incarnation)
                    ? state.isEnded()
                    : state.getIncarnation().getStartMs() >= incarnation.getStartMs())
        .isPresent();
  }

  /**
   * Returns whether a fencing token is the current one of a role.
   *
   * @param role role of the lease
   * @param token fencing token
   * @return true if the lease was neither claimed again nor released since
   */
  public boolean isCurrentToken(String role, long token) {
    return lease(role).filter(l -> l.getToken() == token && !l.isReleased()).isPresent();
  }

  /**
   * Converts the state to a checkpoint message.
   *
   * @return a checkpoint from which {@link Fold#restore} restores this state
   */
  public Checkpoint toCheckpoint() {
    return new Checkpoint(
        upToOffset,
        noteOffset,
        config.toConfiguration(),
        List.copyOf(leases.values()),
        List.copyOf(processes.values()),
        List.copyOf(openIntents.values()),
        List.copyOf(windows.values()),
        lastSealedWindows.entrySet().stream().map(FoldedState::toSealedWindow).toList(),
        List.copyOf(pieces.values()),
        List.copyOf(lastOrderers.values()),
        missingUsage);
  }

  private static SealedWindow toSealedWindow(Map.Entry<String, Long> entry) {
    return new SealedWindow(entry.getKey(), entry.getValue());
  }

  FoldedState withOffset(long offset) {
    return new FoldedState(
        offset,
        noteOffset,
        config,
        leases,
        processes,
        openIntents,
        windows,
        lastSealedWindows,
        pieces,
        lastOrderers,
        missingUsage);
  }

  FoldedState withNote(long offset, ConfigView next) {
    return new FoldedState(
        upToOffset,
        offset,
        next,
        leases,
        processes,
        openIntents,
        windows,
        lastSealedWindows,
        pieces,
        lastOrderers,
        missingUsage);
  }

  FoldedState withLease(LeaseState lease) {
    return new FoldedState(
        upToOffset,
        noteOffset,
        config,
        copyWith(leases, lease.getRole(), lease),
        processes,
        openIntents,
        windows,
        lastSealedWindows,
        pieces,
        lastOrderers,
        missingUsage);
  }

  FoldedState withProcess(ProcessState process) {
    return withProcesses(copyWith(processes, process.getIncarnation().getVm(), process));
  }

  FoldedState withProcesses(Map<String, ProcessState> next) {
    return new FoldedState(
        upToOffset,
        noteOffset,
        config,
        leases,
        next,
        openIntents,
        windows,
        lastSealedWindows,
        pieces,
        lastOrderers,
        missingUsage);
  }

  FoldedState withOpenIntents(Map<Long, OpenIntent> next) {
    return new FoldedState(
        upToOffset,
        noteOffset,
        config,
        leases,
        processes,
        next,
        windows,
        lastSealedWindows,
        pieces,
        lastOrderers,
        missingUsage);
  }

  FoldedState withWindows(Map<WindowKey, WindowState> next, Map<String, Long> nextLastSealed) {
    return new FoldedState(
        upToOffset,
        noteOffset,
        config,
        leases,
        processes,
        openIntents,
        next,
        nextLastSealed,
        pieces,
        lastOrderers,
        missingUsage);
  }

  FoldedState withPieceTable(PieceTable table) {
    return new FoldedState(
        upToOffset,
        noteOffset,
        config,
        leases,
        processes,
        openIntents,
        windows,
        lastSealedWindows,
        copyWith(pieces, table.getRegion(), table),
        lastOrderers,
        missingUsage);
  }

  FoldedState withLastOrderers(Map<String, LastOrderer> next) {
    return new FoldedState(
        upToOffset,
        noteOffset,
        config,
        leases,
        processes,
        openIntents,
        windows,
        lastSealedWindows,
        pieces,
        next,
        missingUsage);
  }

  FoldedState withMissingUsage(List<MissingUsage> next) {
    return new FoldedState(
        upToOffset,
        noteOffset,
        config,
        leases,
        processes,
        openIntents,
        windows,
        lastSealedWindows,
        pieces,
        lastOrderers,
        List.copyOf(next));
  }

  static <K extends Comparable<K>, V> Map<K, V> copyWith(Map<K, V> map, K key, V value) {
    Map<K, V> copy = new TreeMap<>(map);
    copy.put(key, value);
    return copy;
  }

  static <K extends Comparable<K>, V> Map<K, V> copyWithout(Map<K, V> map, K key) {
    Map<K, V> copy = new TreeMap<>(map);
    copy.remove(key);
    return copy;
  }

  static <K extends Comparable<K>, V> Map<K, V> indexBy(List<V> values, Function<V, K> key) {
    Map<K, V> byKey = new TreeMap<>();
    new ArrayList<>(values).forEach(value -> byKey.put(key.apply(value), value));
    return byKey;
  }
}
