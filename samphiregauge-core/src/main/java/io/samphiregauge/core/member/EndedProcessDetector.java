package io.samphiregauge.core.member;

import io.samphiregauge.core.Step;
import io.samphiregauge.core.log.FoldedState;
import io.samphiregauge.core.log.Freshness;
import io.samphiregauge.schema.record.Ended;
import io.samphiregauge.schema.record.Incarnation;
import io.samphiregauge.schema.record.ProcessState;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Records the end of processes that stay dead, on behalf of the holder of a fleet lease; immutable.
 *
 * @param deadSinceMs since when each process has been confirmed dead without a break
 * @param requestedMs when the end of a process was last handed to the log writer
 * @param endedSinceMs when this process learnt of each end
 * @param lastSequences sequence number of the last record of each process that has not ended
 */
public record EndedProcessDetector(
    Map<Incarnation, Long> deadSinceMs,
    Map<Incarnation, Long> requestedMs,
    Map<Incarnation, Long> endedSinceMs,
    Map<Incarnation, Long> lastSequences) {

  /** Time for which a process is confirmed dead before its end is recorded. */
  public static final long DEAD_CONFIRMATION_MS = 2 * Freshness.SELF_FENCE_MS;

  /**
   * Time after its end from which on the pieces of a process are given away. In this time the
   * process has either read of its end or fenced itself; the clock rate may be wrong by 1 in 20.
   */
  public static final long PIECE_REASSIGN_DELAY_MS = Freshness.SELF_FENCE_MS * 21 / 20;

  private static final long RETRY_INTERVAL_MS = 10_000;

  /** Copies the maps. */
  public EndedProcessDetector {
    deadSinceMs = Collections.unmodifiableMap(new LinkedHashMap<>(deadSinceMs));
    requestedMs = Collections.unmodifiableMap(new LinkedHashMap<>(requestedMs));
    endedSinceMs = Collections.unmodifiableMap(new LinkedHashMap<>(endedSinceMs));
    lastSequences = Collections.unmodifiableMap(new LinkedHashMap<>(lastSequences));
  }

  /**
   * Makes a watch that has seen nothing.
   *
   * @return the watch
   */
  public static EndedProcessDetector initial() {
    return new EndedProcessDetector(Map.of(), Map.of(), Map.of(), Map.of());
  }

  /**
   * Looks at the processes of a region.
   *
   * @param state folded state
   * @param region region of this process
   * @param members membership view
   * @param token fencing token of the fleet lease, where this process may act
   * @param nowMs current time
   * @return the next watch, and the ends to record
   */
  public Step<EndedProcessDetector, Ended> detect(
      FoldedState state, String region, Membership members, OptionalLong token, long nowMs) {
    List<Incarnation> processes = liveProcesses(state, region);
    Map<Incarnation, Long> dead = new LinkedHashMap<>();
    Map<Incarnation, Long> requested = new LinkedHashMap<>(requestedMs);
    requested.keySet().retainAll(processes);
    if (isMajorityAlive(processes, members)) {
      for (Incarnation process : processes) {
        if (isUnknownOrDead(process, members)) {
          dead.put(process, hasNewRecord(process, state) ? nowMs : deadSince(process, nowMs));
        }
      }
    }
    List<Ended> ends = new ArrayList<>();
    dead.forEach(
        (process, sinceMs) -> {
          long lastRequestMs = requested.getOrDefault(process, nowMs - RETRY_INTERVAL_MS);
          if (token.isPresent()
              && nowMs - sinceMs >= DEAD_CONFIRMATION_MS
              && nowMs - lastRequestMs >= RETRY_INTERVAL_MS) {
            requested.put(process, nowMs);
            ends.add(new Ended(process, token.getAsLong()));
          }
        });
    Map<Incarnation, Long> nextSequences = new LinkedHashMap<>();
    processes.forEach(process -> nextSequences.put(process, sequence(process, state)));
    return new Step<>(
        new EndedProcessDetector(dead, requested, endedSince(state, nowMs), nextSequences), ends);
  }

  /**
   * Tells whether a process can use its pieces no more.
   *
   * @param process the process
   * @param nowMs current time
   * @return true once its end has been known for {@link #PIECE_REASSIGN_DELAY_MS}
   */
  public boolean mayReassignPieces(Incarnation process, long nowMs) {
    return endedSinceMs.containsKey(process)
        && nowMs - endedSinceMs.get(process) >= PIECE_REASSIGN_DELAY_MS;
  }

  /**
   * Tells whether a majority of processes is alive in the view of this one.
   *
   * @param processes processes that have not ended, this one included
   * @param members membership view
   * @return true where more than half are alive
   */
  static boolean isMajorityAlive(List<Incarnation> processes, Membership members) {
    long alive = processes.stream().filter(process -> !isUnknownOrDead(process, members)).count();
    return alive > processes.size() / 2;
  }

  private static boolean isUnknownOrDead(Incarnation process, Membership members) {
    if (process.equals(members.self().getIncarnation())) {
      return false;
    }
    boolean known =
        members
            .find(process.getVm())
            .filter(other -> other.member().getIncarnation().equals(process))
            .isPresent();
    return !known || members.isConfirmedDead(process);
  }

  private static List<Incarnation> liveProcesses(FoldedState state, String region) {
    return state.processes().values().stream()
        .filter(p -> !p.isEnded() && p.getJoined().getRegion().equals(region))
        .map(ProcessState::getIncarnation)
        .toList();
  }

  private long deadSince(Incarnation process, long nowMs) {
    return deadSinceMs.getOrDefault(process, nowMs);
  }

  /**
   * A record is a sign of life. Gossip may call a process dead for up to 30 s after a partition has
   * healed, while the process still holds leases and gives orders.
   */
  private boolean hasNewRecord(Incarnation process, FoldedState state) {
    return lastSequences.getOrDefault(process, Long.MIN_VALUE) != sequence(process, state);
  }

  private static long sequence(Incarnation process, FoldedState state) {
    return state.process(process.getVm()).map(ProcessState::getSequence).orElse(0L);
  }

  /** Only holders of pieces matter; the others are forgotten. */
  private Map<Incarnation, Long> endedSince(FoldedState state, long nowMs) {
    Map<Incarnation, Long> ended = new LinkedHashMap<>();
    state.pieces().values().stream()
        .flatMap(table -> table.getRanges().stream())
        .map(range -> range.getHolder())
        .filter(state::hasEnded)
        .forEach(holder -> ended.put(holder, endedSinceMs.getOrDefault(holder, nowMs)));
    return ended;
  }
}
