package io.samphiregauge.core.control;

import io.samphiregauge.core.log.CheckpointSchedule;
import io.samphiregauge.core.order.DesiredChanges;
import io.samphiregauge.core.piece.PieceDemand;
import io.samphiregauge.schema.record.Incarnation;
import io.samphiregauge.schema.record.Joined;
import java.util.List;

/**
 * Identity and policies of the process that a {@link Coordinator} coordinates with others.
 *
 * @param self incarnation of the process
 * @param joined record that announces its region, failure domain and addresses
 * @param seedPeers peer addresses of other entries to contact first
 * @param retentionRecords minimum number of records that the log retains
 * @param desiredChanges policy that decides which orders to send
 * @param pieceDemand relative capacity demand of each entry
 */
public record CoordinatorConfig(
    Incarnation self,
    Joined joined,
    List<String> seedPeers,
    long retentionRecords,
    DesiredChanges desiredChanges,
    PieceDemand pieceDemand) {
  /** Makes a defensive copy of the list of addresses. */
  public CoordinatorConfig {
    seedPeers = List.copyOf(seedPeers);
  }

  /**
   * Creates a configuration that sends no orders and shares capacity evenly.
   *
   * @param self incarnation of the process
   * @param joined record that announces its region, failure domain and addresses
   * @return the configuration
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

  /** Returns a copy with the peer addresses to contact first. */
  public CoordinatorConfig withSeedPeers(List<String> addresses) {
    return new CoordinatorConfig(
        self, joined, addresses, retentionRecords, desiredChanges, pieceDemand);
  }

  /** Returns a copy for a log that retains at least the given number of records. */
  public CoordinatorConfig withRetentionRecords(long records) {
    return new CoordinatorConfig(self, joined, seedPeers, records, desiredChanges, pieceDemand);
  }

  /** Returns a copy with the policy that decides which orders to send. */
  public CoordinatorConfig withDesiredChanges(DesiredChanges policy) {
    return new CoordinatorConfig(self, joined, seedPeers, retentionRecords, policy, pieceDemand);
  }

  /** Returns a copy with the function that measures the capacity demand of each entry. */
  public CoordinatorConfig withPieceDemand(PieceDemand measure) {
    return new CoordinatorConfig(
        self, joined, seedPeers, retentionRecords, desiredChanges, measure);
  }
}
