package io.samphiregauge.core.control;

import java.util.OptionalLong;

/** Finds when a coordinator next has something to do. */
final class Deadlines {
  private Deadlines() {}

  static long next(ControlState parts, Now now) {
    long next = parts.members().deadlineMs();
    next = earlier(next, parts.writer().deadlineMs());
    next = earlier(next, parts.fleet().deadlineMs());
    next = earlier(next, parts.usage().deadlineMs());
    next = earlier(next, parts.orderer().deadlineMs());
    next =
        earlier(next, parts.reporter().deadlineMs(parts.reader().state(), now.ms(), now.wallMs()));
    next = Math.min(next, parts.progress().copyMs());
    next = Math.min(next, parts.progress().piecesMs());
    return Math.min(next, withoutLog(parts));
  }

  /** Without log contact, peers are asked for records and for reports. */
  private static long withoutLog(ControlState parts) {
    OptionalLong contactMs = parts.freshness().ownContactMs();
    long lostMs = contactMs.isPresent() ? contactMs.getAsLong() + Relay.ASK_AFTER_MS : 0;
    long askMs = Math.max(lostMs, parts.relay().nextRequestMs());
    return Math.min(
        askMs, parts.outage().deadlineMs(PeerPart.view(parts.reader().state(), parts.freshness())));
  }

  private static long earlier(long time, OptionalLong other) {
    return other.isPresent() ? Math.min(time, other.getAsLong()) : time;
  }
}
