package io.samphiregauge.core.member;

import java.util.Optional;

/**
 * A probe without an answer.
 *
 * @param vm probed VM
 * @param sentMs when it was sent
 * @param asked whether other members were asked to probe
 * @param asker member that asked for this probe, or empty
 */
record OpenProbe(String vm, long sentMs, boolean asked, Optional<Asker> asker) {
  /** A member that waits for the answer under its own number. */
  record Asker(String peerAddress, long number) {}

  OpenProbe withAsked() {
    return new OpenProbe(vm, sentMs, true, asker);
  }

  long deadlineMs() {
    boolean direct = !asked && asker.isEmpty();
    return sentMs + (direct ? MemberTimes.INDIRECT_AFTER_MS : MemberTimes.SUSPECT_AFTER_MS);
  }
}
