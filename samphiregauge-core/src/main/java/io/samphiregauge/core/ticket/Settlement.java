package io.samphiregauge.core.ticket;

import java.util.List;

/**
 * Final reply to a request, and the callers to send it to.
 *
 * @param <W> type that identifies a waiting caller
 * @param reply the reply to every waiter
 * @param waiters callers of the first use and of the repeats that joined it
 */
public record Settlement<W>(TicketReply reply, List<W> waiters) {}
