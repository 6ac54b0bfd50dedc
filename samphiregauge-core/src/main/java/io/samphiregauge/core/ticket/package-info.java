/**
 * Tickets of non-idempotent requests: one ticket names the one process that may run one request.
 *
 * <p>Each event loop of an entry owns one {@link io.samphiregauge.core.ticket.TicketTable}; the
 * number in a ticket names the book, so a request that arrives on another event loop is handed to
 * the owning one. The control thread owns no book and the books need no locks. {@link
 * io.samphiregauge.core.ticket.TicketRouting} reads only immutable state and may be called by every
 * thread.
 */
package io.samphiregauge.core.ticket;
