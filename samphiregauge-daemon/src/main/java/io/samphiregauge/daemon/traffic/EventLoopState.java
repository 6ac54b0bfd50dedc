package io.samphiregauge.daemon.traffic;

import io.netty.channel.EventLoop;
import io.samphiregauge.core.RandomSource;
import io.samphiregauge.core.ticket.TicketReply;
import io.samphiregauge.core.ticket.TicketTable;
import io.samphiregauge.net.HttpConnectionPool;
import java.util.function.Consumer;

/**
 * State of one event loop, which no other thread touches.
 *
 * @param eventLoop the event loop
 * @param context what the traffic side is made of
 * @param shared what all event loops share
 * @param pool connections to backend servers
 * @param router choice of backend servers
 * @param random jitter of retries
 * @param retryBudget budget of retries
 * @param tickets tickets that this event loop owns
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
