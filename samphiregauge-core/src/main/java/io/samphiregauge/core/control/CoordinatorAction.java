package io.samphiregauge.core.control;

import io.samphiregauge.core.log.LogWriter;
import io.samphiregauge.core.order.OrderAction;
import io.samphiregauge.core.result.Failure;
import io.samphiregauge.core.usage.UsageAction;
import io.samphiregauge.schema.PeerMessage;
import io.samphiregauge.schema.peer.Member;

/** Action that the owner of a {@link Coordinator} performs. */
public sealed interface CoordinatorAction {
  /** Append records to the log in order. */
  record Append(LogWriter.Append batch) implements CoordinatorAction {}

  /** Send a message to another entry. */
  record SendPeerMessage(String peerAddress, PeerMessage message) implements CoordinatorAction {}

  /** Send an order if the fleet lease still allows it immediately before the socket write. */
  record SendOrder(OrderAction.Send order) implements CoordinatorAction {}

  /** Send a usage report if the usage lease still allows it immediately before the socket write. */
  record SendReport(UsageAction.Report report) implements CoordinatorAction {}

  /** Log a decision: the subject, what was decided for it, and why. */
  record DecisionMade(String subject, String decision, String reason)
      implements CoordinatorAction {}

  /** Log that the fold rejected the record at an offset. */
  record RecordRejected(long offset, Failure reason) implements CoordinatorAction {}

  /** Log that a member joined, changed its state or was replaced. */
  record MemberChanged(Member member) implements CoordinatorAction {}

  /**
   * The log contains the end of this incarnation: stop serving, then exit or restart with a new
   * incarnation.
   */
  record IncarnationEnded() implements CoordinatorAction {}
}
