package io.samphiregauge.core.ticket;

import io.samphiregauge.core.result.Failure;

/** Reasons why a request with a ticket gets no answer from a backend server. */
public sealed interface TicketFailure extends Failure {
  /** A non-idempotent request came without a ticket. */
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

  /** The header does not hold a ticket. */
  record Malformed(int length) implements TicketFailure {
    @Override
    public String type() {
      return "ticket_malformed";
    }

    @Override
    public String message() {
      return "The %d characters of the header %s are not a ticket."
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
      return "The process on the VM \"%s\" that issued the ticket has ended.".formatted(vm);
    }
  }

  /** The process that the ticket names is not known here, or was not reached. */
  record OwnerUnreachable(String vm) implements TicketFailure {
    @Override
    public String type() {
      return "ticket_owner_unreachable";
    }

    @Override
    public String message() {
      return "The process on the VM \"%s\" that issued the ticket cannot be reached.".formatted(vm);
    }
  }

  /** The owner has no record: the ticket is too old, or the owner never issued it. */
  record NoRecord(long number) implements TicketFailure {
    @Override
    public String type() {
      return "ticket_no_record";
    }

    @Override
    public String message() {
      return "There is no record of the ticket with the number %d any more.".formatted(number);
    }
  }

  /** The ticket was used for another request or by another team. */
  record Mismatch(long number) implements TicketFailure {
    @Override
    public String type() {
      return "ticket_mismatch";
    }

    @Override
    public String message() {
      return "The ticket with the number %d belongs to another request.".formatted(number);
    }
  }

  /** The owner has no room for another ticket or another answer. */
  record Full(String limit, long value) implements TicketFailure {
    @Override
    public String type() {
      return "tickets_full";
    }

    @Override
    public String message() {
      return "The limit %s of %d is reached.".formatted(limit, value);
    }
  }

  /** Too many repeats wait for the answer to one request. */
  record TooManyRepeats(long number) implements TicketFailure {
    @Override
    public String type() {
      return "ticket_too_many_repeats";
    }

    @Override
    public String message() {
      return "Too many repeats wait for the request with the ticket number %d.".formatted(number);
    }
  }

  /** The request was handed to a backend server and its result is not known. */
  record ResultUnknown(long number, String cause) implements TicketFailure {
    @Override
    public String type() {
      return "ticket_result_lost";
    }

    @Override
    public String message() {
      return "The result of the request with the ticket number %d is not known: %s"
          .formatted(number, cause);
    }
  }

  /** The request ran, but its answer was too large to be recorded. */
  record ResponseNotRecorded(long number, long bytes) implements TicketFailure {
    @Override
    public String type() {
      return "ticket_answer_not_kept";
    }

    @Override
    public String message() {
      return "The request with the ticket number %d is done; its answer of %d bytes was not kept."
          .formatted(number, bytes);
    }
  }

  /** The request has been written to a backend server, or has its result already. */
  record AlreadyDispatched(long number) implements TicketFailure {
    @Override
    public String type() {
      return "ticket_already_dispatched";
    }

    @Override
    public String message() {
      return "The request with the ticket number %d was handed to a backend server before."
          .formatted(number);
    }
  }
}
