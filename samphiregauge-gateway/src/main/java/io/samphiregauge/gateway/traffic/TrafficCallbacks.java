package io.samphiregauge.gateway.traffic;

import io.samphiregauge.gateway.DualTimestamp;
import io.samphiregauge.schema.PeerMessage;
import io.samphiregauge.schema.gateway.CrashRecord;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * What the traffic side tells the control side.
 *
 * @param onRequestStarted takes the team of each request that begins to run, and when it began
 * @param onServerCrash takes the requests whose servers ended, to tell other entries
 * @param onPeerMessage takes the messages of other entries that are not about traffic, with the
 *     address to which answers go
 */
public record TrafficCallbacks(
    BiConsumer<String, DualTimestamp> onRequestStarted,
    Consumer<CrashRecord> onServerCrash,
    BiConsumer<String, PeerMessage> onPeerMessage) {}
