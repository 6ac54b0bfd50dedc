package io.samphiregauge.core.control;

import io.samphiregauge.core.log.CheckpointSchedule;
import io.samphiregauge.core.order.DesiredChanges;
import io.samphiregauge.core.piece.PieceDemand;
import io.samphiregauge.schema.record.Incarnation;
import io.samphiregauge.schema.record.Joined;
import java.util.List;

/**
 * A process that is about to take part, and the policies that it brings.
 *
 * @param self the process
 * @param joined where it runs and is reached
 * @param seedPeers peer addresses of other entries to contact first
 * @param retentionRecords records that the log keeps at least
 * @param desiredChanges says which orders are wanted
 * @param pieceDemand says how much capacity each entry needs
 */
public record CoordinatorConfig(
    Incarnation self,
    Joined joined,
    List<String> seedPeers,
    long retentionRecords,
    DesiredChanges desiredChanges,
    PieceDemand pieceDemand) {
  /** Copies the addresses. */
  public CoordinatorConfig {
    seedPeers = List.copyOf(seedPeers);
  }

  /**
   * Makes an entrant that wants no orders and shares capacity evenly.
   *
   * @param self the process
   * @param joined where it runs and is reached
   * @return the entrant
   */
  public static CoordinatorConfig of(Incarnation self, Joined joined) {
    return new CoordinatorConfig(
        self,
        joined,
        List.of(),
        CheckpointSchedule.DEFAULT_RETENTION_RECORDS,
        (state, nowMs) -> List.of(),
        PieceDemand.equal());
  }

  /** Returns the entrant with peers to contact first. */
  public CoordinatorConfig withSeedPeers(List<String> addresses) {
    return new CoordinatorConfig(
        self, joined, addresses, retentionRecords, desiredChanges, pieceDemand);
  }

  /** Returns the entrant for a log with another retention. */
  public CoordinatorConfig withRetentionRecords(long records) {
    return new CoordinatorConfig(self, joined, seedPeers, records, desiredChanges, pieceDemand);
  }

  /** Returns the entrant with a policy for orders. */
  public CoordinatorConfig withDesiredChanges(DesiredChanges wanted) {
    return new CoordinatorConfig(self, joined, seedPeers, retentionRecords, wanted, pieceDemand);
  }

  /** Returns the entrant with a measure of demand. */
  public CoordinatorConfig withPieceDemand(PieceDemand measure) {
    return new CoordinatorConfig(
        self, joined, seedPeers, retentionRecords, desiredChanges, measure);
  }
}
