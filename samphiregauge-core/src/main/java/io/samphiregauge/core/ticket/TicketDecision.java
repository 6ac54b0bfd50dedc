package io.samphiregauge.core.ticket;

/** Decision about a request with a ticket of this process, made by {@link TicketTable#use}. */
public sealed interface TicketDecision {
  /** First use of the ticket: run the request and settle the ticket afterwards. */
  record Run(Ticket ticket) implements TicketDecision {}

  /** The request is already running: its caller receives the reply when the ticket is settled. */
  record Join(Ticket ticket) implements TicketDecision {}

  /** Send a reply to the caller now. */
  record Reply(TicketReply reply) implements TicketDecision {}
}
