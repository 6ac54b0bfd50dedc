package io.samphiregauge.core.ticket;

/** Destination of a request with a ticket. */
public sealed interface TicketRoute {
  /** This process owns the ticket and handles the request. */
  record Local(Ticket ticket) implements TicketRoute {}

  /** Another process owns the ticket; the request is forwarded to its HTTP address. */
  record Forward(Ticket ticket, String httpAddress) implements TicketRoute {}

  /** The owner has ended or is unknown; the request is refused with the reply. */
  record Unroutable(TicketReply reply) implements TicketRoute {}
}
