package io.samphiregauge.core.member;

import java.util.Optional;

/**
 * A probe without an answer.
 *
 * @param vm probed VM
 * @param sentMs when it was sent
 * @param indirectSent whether other members were asked to probe
 * @param requester member that asked for this probe, or empty
 */
record PendingProbe(String vm, long sentMs, boolean indirectSent, Optional<Requester> requester) {
  /** A member that waits for the answer under its own number. */
  record Requester(String peerAddress, long number) {}

  PendingProbe withIndirectSent() {
    return new PendingProbe(vm, sentMs, true, requester);
  }

  long deadlineMs() {
    boolean direct = !indirectSent && requester.isEmpty();
    return sentMs
        + (direct ? GossipParameters.INDIRECT_PROBE_DELAY_MS : GossipParameters.PROBE_TIMEOUT_MS);
  }
}
