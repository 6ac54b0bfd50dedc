package io.samphiregauge.core.ticket;

import io.samphiregauge.core.result.Failure;

/** Reasons why a request that needs a ticket gets no response from a backend server. */
public sealed interface TicketFailure extends Failure {
  /** A non-idempotent request has no ticket. */
  record Required() implements TicketFailure {
    @Override
    public String type() {
      return "ticket_required";
    }

    @Override
    public String message() {
      return "A non-idempotent request needs a ticket in the header " + Ticket.HEADER + ".";
    }
  }

  /** The value of the ticket header is not a valid ticket. */
  record Malformed(int length) implements TicketFailure {
    @Override
    public String type() {
      return "ticket_malformed";
    }

    @Override
    public String message() {
      return "The value of the header %2$s (%1$d characters) is not a valid ticket."
          .formatted(length, Ticket.HEADER);
    }
  }

  /** The process that the ticket names has ended. */
  record OwnerEnded(String vm) implements TicketFailure {
    @Override
    public String type() {
      return "ticket_owner_ended";
    }

    @Override
    public String message() {
      return "The process on VM \"%s\" that issued the ticket has ended.".formatted(vm);
    }
  }

  /** The process that the ticket names is unknown here or unreachable. */
  record OwnerUnreachable(String vm) implements TicketFailure {
    @Override
    public String type() {
      return "ticket_owner_unreachable";
    }

    @Override
    public String message() {
      return "The process on VM \"%s\" that issued the ticket is unreachable.".formatted(vm);
    }
  }

  /** The owner has no record of the ticket: it has expired or was never issued. */
  record NoRecord(long number) implements TicketFailure {
    @Override
    public String type() {
      return "ticket_no_record";
    }

    @Override
    public String message() {
      return "Ticket number %d has expired or was never issued.".formatted(number);
    }
  }

  /** The ticket was used before for a different request or by another team. */
  record Mismatch(long number) implements TicketFailure {
    @Override
    public String type() {
      return "ticket_mismatch";
    }

    @Override
    public String message() {
      return "Ticket number %d was already used for a different request.".formatted(number);
    }
  }

  /** A limit of the owner's ticket table has been reached. */
  record Full(String limit, long value) implements TicketFailure {
    @Override
    public String type() {
      return "tickets_full";
    }

    @Override
    public String message() {
      return "The ticket limit %s of %d has been reached.".formatted(limit, value);
    }
  }

  /** The maximum number of callers is already waiting for the response to one request. */
  record TooManyRepeats(long number) implements TicketFailure {
    @Override
    public String type() {
      return "ticket_too_many_repeats";
    }

    @Override
    public String message() {
      return "Too many repeats are waiting for the request with ticket number %d."
          .formatted(number);
    }
  }

  /** The request was dispatched to a backend server, but its result is unknown. */
  record ResultUnknown(long number, String cause) implements TicketFailure {
    @Override
    public String type() {
      return "ticket_result_lost";
    }

    @Override
    public String message() {
      return "The result of the request with ticket number %d is unknown: %s"
          .formatted(number, cause);
    }
  }

  /** The request completed, but its response was too large to be recorded. */
  record ResponseNotRecorded(long number, long bytes) implements TicketFailure {
    @Override
    public String type() {
      return "ticket_answer_not_kept";
    }

    @Override
    public String message() {
      return ("The request with ticket number %d completed; "
              + "its response of %d bytes is too large to record.")
          .formatted(number, bytes);
    }
  }

  /** The request cannot be dispatched: it was dispatched or settled, or its ticket is unknown. */
  record AlreadyDispatched(long number) implements TicketFailure {
    @Override
    public String type() {
      return "ticket_already_dispatched";
    }

    @Override
    public String message() {
      return "The request with ticket number %d was already dispatched or settled, or is unknown."
          .formatted(number);
    }
  }
}
