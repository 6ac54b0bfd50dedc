package io.samphiregauge.core.ticket;

/** How to handle a request that carries a ticket of this process. */
public sealed interface TicketDecision {
  /** First use of the ticket: run the request and settle the ticket afterwards. */
  record Run(Ticket ticket) implements TicketDecision {}

  /** The request is already running; the waiter gets the reply when the ticket is settled. */
  record Join(Ticket ticket) implements TicketDecision {}

  /** Send a reply to the caller now. */
  record Reply(TicketReply reply) implements TicketDecision {}
}
