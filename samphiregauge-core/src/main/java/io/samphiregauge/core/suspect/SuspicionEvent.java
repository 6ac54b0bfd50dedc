package io.samphiregauge.core.suspect;

import io.samphiregauge.schema.peer.SuspicionAck;
import io.samphiregauge.schema.peer.SuspicionNotice;
import io.samphiregauge.schema.record.Incarnation;
import java.util.List;
import java.util.Set;

/** Something that the suspicion machine reacts to. */
public sealed interface SuspicionEvent {
  /** An engine crashed while requests of this entry were on it; not used for a leaving engine. */
  record Crashed(String engine, List<String> fingerprints) implements SuspicionEvent {}

  /** A notice of another entry arrived. */
  record NoticeReceived(Incarnation from, SuspicionNotice notice) implements SuspicionEvent {}

  /** Another entry confirmed a notice. */
  record AckReceived(Incarnation from, SuspicionAck ack) implements SuspicionEvent {}

  /**
   * The membership view has changed.
   *
   * @param live entries that serve
   * @param presumedDead entries that gossip calls dead but that have not ended in the log; their
   *     confirmations count too, since they may serve on the other side of a partition
   */
  record MembersChanged(Set<Incarnation> live, Set<Incarnation> presumedDead)
      implements SuspicionEvent {
    /** Copies the sets. */
    public MembersChanged {
      live = Set.copyOf(live);
      presumedDead = Set.copyOf(presumedDead);
    }
  }

  /** A suspect wants to run on one of these engines, the best one first. */
  record IsolationRequested(String fingerprint, List<String> engines) implements SuspicionEvent {}

  /** All event loops have seen the reservations and told which engines are busy. */
  record EnginesChecked(Incarnation reservedBy, long number, List<String> busy)
      implements SuspicionEvent {}

  /** A suspect finished; one that did not run to its end, for example a cancelled one, stays. */
  record Finished(String fingerprint, boolean completed) implements SuspicionEvent {}

  /** Time has passed. */
  record Tick() implements SuspicionEvent {}
}
