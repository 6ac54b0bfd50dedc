package io.samphiregauge.core.suspect;

import io.samphiregauge.schema.peer.SuspicionAck;
import io.samphiregauge.schema.peer.SuspicionNotice;
import io.samphiregauge.schema.record.Incarnation;
import java.util.List;
import java.util.Set;

/** Input of {@link Suspicion}. */
public sealed interface SuspicionEvent {
  /**
   * An engine crashed while running requests of this entry. Not sent for an engine that shuts down.
   */
  record Crashed(String engine, List<String> fingerprints) implements SuspicionEvent {}

  /** A notice was received from another entry. */
  record NoticeReceived(Incarnation from, SuspicionNotice notice) implements SuspicionEvent {}

  /** Another entry acknowledged a notice. */
  record AckReceived(Incarnation from, SuspicionAck ack) implements SuspicionEvent {}

  /**
   * Current members, sent when the membership may have changed.
   *
   * @param live other entries that are serving
   * @param presumedDead entries that gossip reports dead but that have not ended in the log; their
   *     acknowledgements are required too, since they may be serving on the other side of a
   *     partition
   */
  record MembersChanged(Set<Incarnation> live, Set<Incarnation> presumedDead)
      implements SuspicionEvent {
    /** Makes defensive copies of the sets. */
    public MembersChanged {
      live = Set.copyOf(live);
      presumedDead = Set.copyOf(presumedDead);
    }
  }

  /** A suspect needs a reservation of one of these engines, listed in order of preference. */
  record IsolationRequested(String fingerprint, List<String> engines) implements SuspicionEvent {}

  /** All event loops have applied the reservations and reported which engines are busy. */
  record EnginesChecked(Incarnation reservedBy, long number, List<String> busy)
      implements SuspicionEvent {}

  /**
   * A run of a suspect finished. Only a completed run clears the suspicion, a cancelled one does
   * not.
   */
  record Finished(String fingerprint, boolean completed) implements SuspicionEvent {}

  /** A deadline may have passed. */
  record Tick() implements SuspicionEvent {}
}
