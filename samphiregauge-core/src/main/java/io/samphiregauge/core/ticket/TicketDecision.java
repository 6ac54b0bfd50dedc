package io.samphiregauge.core.ticket;

/** What to do with a request that carries a ticket of this process. */
public sealed interface TicketDecision {
  /** First use: run the request, and settle the ticket afterwards. */
  record Run(Ticket ticket) implements TicketDecision {}

  /** The request runs already: the waiter gets its answer when the ticket is settled. */
  record Join(Ticket ticket) implements TicketDecision {}

  /** Answer the caller now. */
  record Reply(TicketReply reply) implements TicketDecision {}
}
