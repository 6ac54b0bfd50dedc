package io.samphiregauge.gateway.traffic;

import io.samphiregauge.gateway.DualTimestamp;
import io.samphiregauge.schema.PeerMessage;
import io.samphiregauge.schema.gateway.CrashRecord;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * What the traffic side tells the control side.
 *
 * @param usage takes the team of each request that begins to run, and when it began
 * @param crashes takes the requests whose servers ended, to tell other entries
 * @param messages takes the messages of other entries that are not about traffic, with the address
 *     to which answers go
 */
public record TrafficEvents(
    BiConsumer<String, DualTimestamp> usage,
    Consumer<CrashRecord> crashes,
    BiConsumer<String, PeerMessage> messages) {}
