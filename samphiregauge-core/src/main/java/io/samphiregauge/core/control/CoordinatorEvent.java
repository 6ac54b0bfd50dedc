package io.samphiregauge.core.control;

import io.samphiregauge.core.log.LogWriter;
import io.samphiregauge.core.order.OrderEvent;
import io.samphiregauge.core.usage.UsageEvent;
import io.samphiregauge.schema.PeerMessage;
import io.samphiregauge.schema.platform.RecordsPage;
import io.samphiregauge.schema.record.UsageFigure;
import java.util.List;

/** What a coordinator is told. */
public sealed interface CoordinatorEvent {
  /** Time passed. */
  record Tick() implements CoordinatorEvent {}

  /**
   * The log answered a read.
   *
   * @param page what it answered, perhaps nothing
   * @param requestSentMs time before the request was sent
   */
  record PageRead(RecordsPage page, long requestSentMs) implements CoordinatorEvent {}

  /** The log answered an append, or the append failed. */
  record AppendCompleted(LogWriter.Event outcome) implements CoordinatorEvent {}

  /** A message of another entry arrived. */
  record PeerMessageReceived(String peerAddress, PeerMessage message) implements CoordinatorEvent {}

  /** An order was answered or not. */
  record OrderCompleted(OrderEvent outcome) implements CoordinatorEvent {}

  /** A usage report was answered or not. */
  record ReportCompleted(UsageEvent outcome) implements CoordinatorEvent {}

  /** The platform's list of VMs was read. */
  record VmsListed(List<String> peerAddresses, List<String> leavingVms)
      implements CoordinatorEvent {
    /** Copies the lists. */
    public VmsListed {
      peerAddresses = List.copyOf(peerAddresses);
      leavingVms = List.copyOf(leavingVms);
    }
  }

  /** A request used tokens or a service. */
  record UsageRecorded(UsageFigure figure) implements CoordinatorEvent {}

  /** The process is about to end: others stop naming it to callers, and it still serves. */
  record Retire() implements CoordinatorEvent {}

  /** The process is to end: release everything, then record the end. */
  record Leave() implements CoordinatorEvent {}
}
