package io.samphiregauge.core.ticket;

import io.samphiregauge.core.result.Failure;
import io.samphiregauge.schema.entry.Outcome;

/** What a caller is told about its request. */
public sealed interface TicketReply {
  /** The request ran and this is its answer. */
  record Completed(RecordedResponse response) implements TicketReply {}

  /** The request has no answer; the outcome says whether it may have run. */
  record Refused(Failure reason, Outcome outcome) implements TicketReply {}

  /**
   * Refuses a request that did not run.
   *
   * @param reason why
   * @return the refusal
   */
  static TicketReply notRun(Failure reason) {
    return new Refused(reason, Outcome.NOT_RUN);
  }

  /**
   * Refuses a request that may have run.
   *
   * @param reason why
   * @return the refusal
   */
  static TicketReply outcomeUnknown(Failure reason) {
    return new Refused(reason, Outcome.OUTCOME_UNKNOWN);
  }

  /**
   * Tells whether the reply promises that the request did not run.
   *
   * @return true for a refusal with {@code not_run}
   */
  default boolean isNotRun() {
    return this instanceof Refused refused && refused.outcome() == Outcome.NOT_RUN;
  }
}
