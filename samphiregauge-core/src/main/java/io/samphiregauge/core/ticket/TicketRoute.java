package io.samphiregauge.core.ticket;

/** Where a request with a ticket is handled. */
public sealed interface TicketRoute {
  /** This process owns the ticket. */
  record Local(Ticket ticket) implements TicketRoute {}

  /** Another process owns the ticket. */
  record Forward(Ticket ticket, String httpAddress) implements TicketRoute {}

  /** No process may run the request. */
  record Unroutable(TicketReply reply) implements TicketRoute {}
}
