package io.samphiregauge.core.ticket;

import java.util.List;

/**
 * The end of a request: what all its callers are told.
 *
 * @param <W> type of the waiters
 * @param reply the reply to each waiter
 * @param waiters callers of the first use and of the repeats that joined it
 */
public record Settlement<W>(TicketReply reply, List<W> waiters) {}
