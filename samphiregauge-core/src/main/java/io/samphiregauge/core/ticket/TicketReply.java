package io.samphiregauge.core.ticket;

import io.samphiregauge.core.result.Failure;
import io.samphiregauge.schema.entry.Outcome;

/** Reply to the caller of a request with a ticket. */
public sealed interface TicketReply {
  /** The request ran, and its response was recorded. */
  record Completed(RecordedResponse response) implements TicketReply {}

  /** The request has no response; the outcome states whether it may have run. */
  record Refused(Failure reason, Outcome outcome) implements TicketReply {}

  /**
   * Creates a refusal of a request that did not run.
   *
   * @param reason reason of the refusal
   * @return the refusal
   */
  static TicketReply notRun(Failure reason) {
    return new Refused(reason, Outcome.NOT_RUN);
  }

  /**
   * Creates a refusal of a request that may have run.
   *
   * @param reason reason of the refusal
   * @return the refusal
   */
  static TicketReply outcomeUnknown(Failure reason) {
    return new Refused(reason, Outcome.OUTCOME_UNKNOWN);
  }

  /**
   * Returns whether the reply guarantees that the request did not run.
   *
   * @return true for a refusal with the outcome {@code not_run}
   */
  default boolean isNotRun() {
    return this instanceof Refused refused && refused.outcome() == Outcome.NOT_RUN;
  }
}
