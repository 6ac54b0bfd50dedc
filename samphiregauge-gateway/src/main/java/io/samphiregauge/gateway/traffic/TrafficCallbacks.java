package io.samphiregauge.gateway.traffic;

import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.schema.PeerMessage;
import io.samphiregauge.schema.gateway.CrashRecord;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Callbacks from the event loops to the control thread. They run on the event loops and must not
 * block.
 *
 * @param onRequestStarted receives the team of each request that starts to run, and the start time
 * @param onServerCrash receives each detected crash, to publish it to the other entries
 * @param onPeerMessage receives the address for replies and the message, for all messages of other
 *     entries except loads
 */
public record TrafficCallbacks(
    BiConsumer<String, DualTimestamp> onRequestStarted,
    Consumer<CrashRecord> onServerCrash,
    BiConsumer<String, PeerMessage> onPeerMessage) {}
