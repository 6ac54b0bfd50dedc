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
 * @param changes says which orders are wanted
 * @param demand says how much capacity each entry needs
 */
public record Entrant(
    Incarnation self,
    Joined joined,
    List<String> seedPeers,
    long retentionRecords,
    DesiredChanges changes,
    PieceDemand demand) {
  /** Copies the addresses. */
  public Entrant {
    seedPeers = List.copyOf(seedPeers);
  }

  /**
   * Makes an entrant that wants no orders and shares capacity evenly.
   *
   * @param self the process
   * @param joined where it runs and is reached
   * @return the entrant
   */
  public static Entrant of(Incarnation self, Joined joined) {
    return new Entrant(
        self,
        joined,
        List.of(),
        CheckpointSchedule.DEFAULT_RETENTION_RECORDS,
        (state, nowMs) -> List.of(),
        PieceDemand.equal());
  }

  /** Returns the entrant with peers to contact first. */
  public Entrant knowing(List<String> addresses) {
    return new Entrant(self, joined, addresses, retentionRecords, changes, demand);
  }

  /** Returns the entrant for a log with another retention. */
  public Entrant retaining(long records) {
    return new Entrant(self, joined, seedPeers, records, changes, demand);
  }

  /** Returns the entrant with a policy for orders. */
  public Entrant ordering(DesiredChanges wanted) {
    return new Entrant(self, joined, seedPeers, retentionRecords, wanted, demand);
  }

  /** Returns the entrant with a measure of demand. */
  public Entrant sharingBy(PieceDemand measure) {
    return new Entrant(self, joined, seedPeers, retentionRecords, changes, measure);
  }
}
