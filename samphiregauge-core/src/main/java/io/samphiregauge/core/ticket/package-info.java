/**
 * Tickets, which ensure that a non-idempotent request runs at most once. A ticket names the only
 * process that may run its request.
 *
 * <p>Each event loop of an entry owns one {@link io.samphiregauge.core.ticket.TicketTable}. The
 * number in a ticket determines its table, and a request that arrives on another event loop is
 * passed to the owning one, so tables need no locks. The control thread owns no table. {@link
 * io.samphiregauge.core.ticket.TicketRouting} reads only immutable state and is safe on any thread.
 */
package io.samphiregauge.core.ticket;
