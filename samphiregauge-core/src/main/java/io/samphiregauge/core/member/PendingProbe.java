package io.samphiregauge.core.member;

import java.util.Optional;

/**
 * A probe that has not been acknowledged.
 *
 * @param vm probed VM
 * @param sentMs time at which the probe was sent
 * @param indirectSent whether indirect probes were requested
 * @param requester member on whose behalf the probe was sent, or empty if this process probes for
 *     itself
 */
record PendingProbe(String vm, long sentMs, boolean indirectSent, Optional<Requester> requester) {
  /** Member that requested an indirect probe, and the number of its own probe. */
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
