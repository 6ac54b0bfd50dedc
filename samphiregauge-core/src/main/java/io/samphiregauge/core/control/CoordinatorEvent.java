package io.samphiregauge.core.control;

import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.log.LogWriter;
import io.samphiregauge.core.order.OrderEvent;
import io.samphiregauge.core.usage.UsageEvent;
import io.samphiregauge.schema.PeerMessage;
import io.samphiregauge.schema.platform.RecordsPage;
import io.samphiregauge.schema.record.UsageFigure;
import java.util.List;

/** Input event of a {@link Coordinator}. */
public sealed interface CoordinatorEvent {
  /** Time has passed; tasks may be due. */
  record Tick() implements CoordinatorEvent {}

  /**
   * A read of the log returned a page.
   *
   * @param page the page, which may be empty
   * @param requestSentAt time just before the request was sent
   */
  record PageRead(RecordsPage page, DualTimestamp requestSentAt) implements CoordinatorEvent {}

  /** An append to the log succeeded or failed. */
  record AppendCompleted(LogWriter.Event outcome) implements CoordinatorEvent {}

  /** A message from another entry arrived. */
  record PeerMessageReceived(String peerAddress, PeerMessage message) implements CoordinatorEvent {}

  /** The response to an order arrived, or its outcome is unknown. */
  record OrderCompleted(OrderEvent outcome) implements CoordinatorEvent {}

  /** The response to a usage report arrived, or its outcome is unknown. */
  record ReportCompleted(UsageEvent outcome) implements CoordinatorEvent {}

  /**
   * The platform's list of VMs was read.
   *
   * @param peerAddresses peer addresses of the listed entries
   * @param leavingVms names of the entry VMs that are about to be removed
   */
  record VmsListed(List<String> peerAddresses, List<String> leavingVms)
      implements CoordinatorEvent {
    /** Makes defensive copies of the lists. */
    public VmsListed {
      peerAddresses = List.copyOf(peerAddresses);
      leavingVms = List.copyOf(leavingVms);
    }
  }

  /** A request consumed tokens or used a service. */
  record UsageRecorded(UsageFigure figure) implements CoordinatorEvent {}

  /**
   * Shutdown was announced: other entries stop routing callers to this entry, which still serves
   * requests.
   */
  record ShutdownAnnounced() implements CoordinatorEvent {}

  /**
   * Shutdown starts: the leases and pieces are released, then the {@code Ended} record is submitted
   * to the log writer.
   */
  record ShutdownStarted() implements CoordinatorEvent {}
}
