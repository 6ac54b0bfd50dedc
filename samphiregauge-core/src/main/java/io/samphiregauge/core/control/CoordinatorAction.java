package io.samphiregauge.core.control;

import io.samphiregauge.core.log.LogWriter;
import io.samphiregauge.core.order.OrderAction;
import io.samphiregauge.core.result.Failure;
import io.samphiregauge.core.usage.UsageAction;
import io.samphiregauge.schema.PeerMessage;
import io.samphiregauge.schema.peer.Member;

/** What a coordinator asks for. */
public sealed interface CoordinatorAction {
  /** Append records in order. */
  record Append(LogWriter.Append call) implements CoordinatorAction {}

  /** Send a message to another entry. */
  record SendPeerMessage(String peerAddress, PeerMessage message) implements CoordinatorAction {}

  /** Send an order, if the fleet lease still allows it at the last step before the write. */
  record SendOrder(OrderAction.Send order) implements CoordinatorAction {}

  /** Send a usage report, if the usage lease still allows it at the last step before the write. */
  record SendReport(UsageAction.Report report) implements CoordinatorAction {}

  /** A decision to be logged: what was chosen, for what, and why. */
  record DecisionMade(String subject, String decision, String reason)
      implements CoordinatorAction {}

  /** The fold ignored a record. */
  record RecordRejected(long offset, Failure reason) implements CoordinatorAction {}

  /** A member came, changed its state or was replaced. */
  record MemberChanged(Member member) implements CoordinatorAction {}

  /** This incarnation has ended in the log: stop serving, and start as a new one or exit. */
  record IncarnationEnded() implements CoordinatorAction {}
}
