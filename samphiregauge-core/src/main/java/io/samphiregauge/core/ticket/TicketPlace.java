package io.samphiregauge.core.ticket;

/** Where a request with a ticket is handled. */
public sealed interface TicketPlace {
  /** This process owns the ticket. */
  record Here(Ticket ticket) implements TicketPlace {}

  /** Another process owns the ticket. */
  record Forward(Ticket ticket, String httpAddress) implements TicketPlace {}

  /** No process may run the request. */
  record Nowhere(TicketReply reply) implements TicketPlace {}
}
