package io.samphiregauge.verify;

import io.samphiregauge.core.ticket.TicketReply;
import io.samphiregauge.schema.EngineOrder;
import io.samphiregauge.schema.platform.UsageReport;
import io.samphiregauge.schema.record.Incarnation;
import java.util.List;
import java.util.Optional;

/** An event of a simulation that the invariants check, such as a reply or a process's progress. */
sealed interface Observation {
  /**
   * Returns the VM and start time of a process as text. In contrast to the generated {@code
   * toString()}, the text is the same in every run of a seed.
   */
  static String processName(Incarnation process) {
    return process.getVm() + "#" + process.getStartMs();
  }

  /** The processes that currently hold the lease of a role, each according to its own clock. */
  record RoleHolders(String role, List<Incarnation> holders) implements Observation {}

  /**
   * A process has applied the log up to an offset; {@code noteOffset} is its newest accepted note.
   */
  record FoldProgress(Incarnation process, long offset, long noteOffset) implements Observation {}

  /**
   * The deadline for applying a note has passed at a process; {@code appliedNoteOffset} is the
   * newest accepted note that the process has applied.
   */
  record NoteDeadline(Incarnation process, long noteOffset, long appliedNoteOffset)
      implements Observation {}

  /** The log has stored an accepted note that withdraws a key. */
  record KeyWithdrawn(String key, long atMs) implements Observation {}

  /** A process accepted a request with an API key. */
  record KeyAccepted(Incarnation process, String key, long atMs, long faultFreeSinceMs)
      implements Observation {}

  /** A plain service executed a non-idempotent request. */
  record ServiceRun(String request, String ticket) implements Observation {}

  /** A caller received a reply to a non-idempotent request. */
  record ReplyReceived(String request, Optional<String> ticket, TicketReply reply)
      implements Observation {}

  /**
   * A caller received a response; {@code producedBy} is the request whose execution produced it.
   */
  record ResponseReceived(String request, String producedBy) implements Observation {}

  /** A request crashed an engine. */
  record EngineCrash(String fingerprint, String engine, boolean exempt) implements Observation {}

  /** An entry refused a request because it is blocked for crashing engines. */
  record RequestBlocked(String fingerprint, boolean crashes, boolean exempt)
      implements Observation {}

  /** An order took effect at an engine or at the platform. */
  record OrderApplied(String target, long intentOffset, EngineOrder order) implements Observation {}

  /** The usage interface received a report. */
  record UsageReported(UsageReport report) implements Observation {}

  /** Two processes use a piece at the same time, each according to its own state. */
  record PieceShared(int piece, Incarnation first, Incarnation second) implements Observation {}
}
