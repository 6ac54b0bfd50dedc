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
 * Decides when a process that is presumed dead is recorded as ended, and when its pieces may be
 * reassigned; immutable. Only the holder of the fleet lease writes {@code Ended} records.
 *
 * @param deadSinceMs start of the uninterrupted time for which each process has been presumed dead
 * @param submittedMs time at which the {@code Ended} record of each process was last submitted to
 *     the log writer
 * @param endedSinceMs time at which this process read the end of each piece holder
 * @param lastSequences sequence number of the newest record of each process that has not ended
 */
public record EndedProcessDetector(
    Map<Incarnation, Long> deadSinceMs,
    Map<Incarnation, Long> submittedMs,
    Map<Incarnation, Long> endedSinceMs,
    Map<Incarnation, Long> lastSequences) {

  /** Time for which a process must be presumed dead before its end is recorded. */
  public static final long DEAD_CONFIRMATION_MS = 2 * Freshness.SELF_FENCE_MS;

  /**
   * Delay between the end of a process and the reassignment of its pieces. Within it the process
   * has either read its end in the log or fenced itself; the delay allows for a clock rate error of
   * 5%.
   */
  public static final long PIECE_REASSIGN_DELAY_MS = Freshness.SELF_FENCE_MS * 21 / 20;

  /** Time after which an {@code Ended} record that was not read back is submitted again. */
  private static final long RETRY_INTERVAL_MS = 10_000;

  /** Makes defensive copies of the maps. */
  public EndedProcessDetector {
    deadSinceMs = Collections.unmodifiableMap(new LinkedHashMap<>(deadSinceMs));
    submittedMs = Collections.unmodifiableMap(new LinkedHashMap<>(submittedMs));
    endedSinceMs = Collections.unmodifiableMap(new LinkedHashMap<>(endedSinceMs));
    lastSequences = Collections.unmodifiableMap(new LinkedHashMap<>(lastSequences));
  }

  /**
   * Creates a detector without observations.
   *
   * @return the detector
   */
  public static EndedProcessDetector initial() {
    return new EndedProcessDetector(Map.of(), Map.of(), Map.of(), Map.of());
  }

  /**
   * Evaluates the processes of a region.
   *
   * @param state folded state
   * @param region region of this process
   * @param members membership view
   * @param token fencing token of the fleet lease, or empty if this process does not hold it
   * @param nowMs current time
   * @return the next detector, and the {@code Ended} records to write
   */
  public Step<EndedProcessDetector, Ended> detect(
      FoldedState state, String region, Membership members, OptionalLong token, long nowMs) {
    List<Incarnation> processes = liveProcesses(state, region);
    Map<Incarnation, Long> dead = new LinkedHashMap<>();
    Map<Incarnation, Long> submitted = new LinkedHashMap<>(submittedMs);
    submitted.keySet().retainAll(processes);
    if (isMajorityAlive(processes, members)) {
      for (Incarnation process : processes) {
        if (isUnknownOrDead(process, members)) {
          dead.put(process, hasNewRecord(process, state) ? nowMs : deadSince(process, nowMs));
        }
      }
    }
    List<Ended> endedRecords = new ArrayList<>();
    dead.forEach(
        (process, sinceMs) -> {
          long lastSubmittedMs = submitted.getOrDefault(process, nowMs - RETRY_INTERVAL_MS);
          if (token.isPresent()
              && nowMs - sinceMs >= DEAD_CONFIRMATION_MS
              && nowMs - lastSubmittedMs >= RETRY_INTERVAL_MS) {
            submitted.put(process, nowMs);
            endedRecords.add(new Ended(process, token.getAsLong()));
          }
        });
    Map<Incarnation, Long> nextSequences = new LinkedHashMap<>();
    processes.forEach(process -> nextSequences.put(process, sequence(process, state)));
    return new Step<>(
        new EndedProcessDetector(dead, submitted, endedSince(state, nowMs), nextSequences),
        endedRecords);
  }

  /**
   * Returns whether the pieces of a process may be assigned to others.
   *
   * @param process the process
   * @param nowMs current time
   * @return true once this process has known its end for {@link #PIECE_REASSIGN_DELAY_MS}
   */
  public boolean mayReassignPieces(Incarnation process, long nowMs) {
    return endedSinceMs.containsKey(process)
        && nowMs - endedSinceMs.get(process) >= PIECE_REASSIGN_DELAY_MS;
  }

  /**
   * Returns whether this process sees a majority of the processes as alive.
   *
   * @param processes processes that have not ended, this one included
   * @param members membership view
   * @return true if more than half are alive
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
    return !known || members.isPresumedDead(process);
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
   * A new record shows that the process is running. Gossip may report a process dead for up to 30 s
   * after a partition has healed, while the process still holds leases and sends orders.
   */
  private boolean hasNewRecord(Incarnation process, FoldedState state) {
    return lastSequences.getOrDefault(process, Long.MIN_VALUE) != sequence(process, state);
  }

  private static long sequence(Incarnation process, FoldedState state) {
    return state.process(process.getVm()).map(ProcessState::getSequence).orElse(0L);
  }

  /** Tracks only ended processes that still hold pieces. */
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
