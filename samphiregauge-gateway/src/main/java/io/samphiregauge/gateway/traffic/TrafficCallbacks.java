package io.samphiregauge.gateway.traffic;

import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.stream.ServiceVersion;
import io.samphiregauge.core.suspect.RequestTraits;
import io.samphiregauge.schema.PeerMessage;
import io.samphiregauge.schema.gateway.CrashRecord;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Callbacks from the event loops to the control thread. They run on the event loops and must not
 * block.
 *
 * @param onRequestStarted receives the team of each request that starts to run, and the start time
 * @param onServerCrash receives each detected crash with the requests of this entry that were lost
 *     in it, to publish it to the other entries
 * @param onRequestCompleted receives the traits of each request at the beginning of its response
 *     (the first event, or a whole successful response), once per request. It proves that the
 *     traits alone do not crash servers, so a call that only prefills must not be reported.
 * @param onTrialStarted receives the blocked trait of a request that is sent as a trial, before it
 *     is sent
 * @param onStreamBegun receives each attempt of a caller that gets the first event of a stream, and
 *     the software version that sent it
 * @param streamVersionFinder finds the software version that began a stream
 * @param onPeerMessage receives the address for replies and the message, for all messages of other
 *     entries except loads
 */
public record TrafficCallbacks(
    BiConsumer<String, DualTimestamp> onRequestStarted,
    Consumer<CrashRecord> onServerCrash,
    Consumer<RequestTraits> onRequestCompleted,
    Consumer<String> onTrialStarted,
    BiConsumer<String, ServiceVersion> onStreamBegun,
    StreamVersionFinder streamVersionFinder,
    BiConsumer<String, PeerMessage> onPeerMessage) {

  /** Finds the software version that began a stream. */
  @FunctionalInterface
  public interface StreamVersionFinder {
    /**
     * Finds the version, if necessary in the store.
     *
     * @param service service to which the request is routed
     * @param attemptId attempt of the caller that received the first event
     * @param handler receives the version, or empty if it cannot be told, on any thread
     */
    void find(String service, String attemptId, Consumer<Optional<String>> handler);
  }
}
