package io.samphiregauge.daemon.traffic;

import io.netty.channel.EventLoop;
import io.samphiregauge.core.RandomSource;
import io.samphiregauge.core.ticket.TicketReply;
import io.samphiregauge.core.ticket.TicketTable;
import io.samphiregauge.net.HttpConnectionPool;
import java.util.function.Consumer;

/**
 * State confined to one event loop.
 *
 * @param eventLoop the event loop
 * @param context configuration and collaborators that all event loops share
 * @param shared state shared by all event loops
 * @param pool pool of connections to backend servers
 * @param router selects backend servers
 * @param random source of jitter for retries
 * @param retryBudget limits retries
 * @param tickets table of the tickets that this event loop owns
 */
record EventLoopState(
    EventLoop eventLoop,
    TrafficContext context,
    SharedTrafficState shared,
    HttpConnectionPool pool,
    BackendRouter router,
    RandomSource random,
    RetryBudget retryBudget,
    TicketTable<Consumer<TicketReply>> tickets) {}
