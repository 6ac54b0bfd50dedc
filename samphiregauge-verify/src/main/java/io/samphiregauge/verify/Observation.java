package io.samphiregauge.verify;

import io.samphiregauge.core.ticket.TicketReply;
import io.samphiregauge.schema.EngineOrder;
import io.samphiregauge.schema.platform.UsageReport;
import io.samphiregauge.schema.record.Incarnation;
import java.util.List;
import java.util.Optional;

/** Something that an invariant judges: what the outside, or a process itself, could see. */
sealed interface Observation {
  /** Names a process; unlike its text, the name is the same in each run of a seed. */
  static String processName(Incarnation process) {
    return process.getVm() + "#" + process.getStartMs();
  }

  /** The roles that processes hold at this moment, each by its own clock. */
  record RoleHolders(String role, List<Incarnation> holders) implements Observation {}

  /** A process has folded the log up to an offset. */
  record FoldProgress(Incarnation process, long offset, long noteOffset) implements Observation {}

  /** The time within which a note must be in force has passed. */
  record NoteDeadline(Incarnation process, long noteOffset, long appliedNoteOffset)
      implements Observation {}

  /** The log has stored a note that withdraws a key, and the fold accepts it. */
  record KeyWithdrawn(String key, long atMs) implements Observation {}

  /** An entry accepted a key. */
  record KeyAccepted(Incarnation process, String key, long atMs, long faultFreeSinceMs)
      implements Observation {}

  /** A plain service ran a non-idempotent request. */
  record ServiceRun(String request, String ticket) implements Observation {}

  /** A caller got a reply to a non-idempotent request. */
  record ReplyReceived(String request, Optional<String> ticket, TicketReply reply)
      implements Observation {}

  /** A caller got an answer that another caller's request produced. */
  record ResponseReceived(String request, String producedBy) implements Observation {}

  /** A request crashed an engine. */
  record EngineCrash(String fingerprint, String engine, boolean exempt) implements Observation {}

  /** An entry refused a request as one that crashes engines. */
  record RequestBlocked(String fingerprint, boolean crashes, boolean exempt)
      implements Observation {}

  /** An order took effect at an engine or at the platform. */
  record OrderApplied(String target, long intentOffset, EngineOrder order) implements Observation {}

  /** The usage interface has got a report. */
  record UsageReported(UsageReport report) implements Observation {}

  /** Two entries use a piece at the same moment, each by its own view. */
  record PieceShared(int piece, Incarnation first, Incarnation second) implements Observation {}
}
