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
 * @param parts what the traffic side is made of
 * @param shared what all event loops share
 * @param pool connections to backend servers
 * @param router choice of backend servers
 * @param random jitter of retries
 * @param retries budget of retries
 * @param tickets tickets that this event loop owns
 */
record TrafficLoop(
    EventLoop eventLoop,
    TrafficParts parts,
    Shared shared,
    HttpConnectionPool pool,
    Router router,
    RandomSource random,
    RetryBudget retries,
    TicketTable<Consumer<TicketReply>> tickets) {}
