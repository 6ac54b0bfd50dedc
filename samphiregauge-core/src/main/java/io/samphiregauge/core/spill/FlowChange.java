package io.samphiregauge.core.spill;

import java.util.Locale;

/**
 * A change of the part of a failure domain's work that goes to another one, with the figures that
 * led to it.
 *
 * @param from failure domain that the work leaves
 * @param to failure domain that runs it
 * @param before the part of the work before the change, from 0 to 1
 * @param after the part of the work after the change, from 0 to 1
 * @param cause why it was changed
 * @param hereMs expected wait in the domain that the work leaves, in milliseconds
 * @param thereMs expected wait in the other domain, in milliseconds
 * @param crossingMs cost of leaving for a request of the usual size, in milliseconds
 * @param ageMs age of the figures, in milliseconds
 */
public record FlowChange(
    String from,
    String to,
    double before,
    double after,
    Cause cause,
    double hereMs,
    double thereMs,
    double crossingMs,
    long ageMs) {
  /** Why a flow was changed. */
  public enum Cause {
    /** The wait saved exceeds what leaving costs. */
    PAYS,
    /** Leaving has not paid for a while. */
    NO_LONGER_PAYS,
    /** The delay and failures of the link cost more than the wait here. */
    BAD_LINK,
    /** The other domain has no spare capacity, and its own requests wait. */
    OTHER_IS_FULL,
    /** The other domain has no server that can be used. */
    NO_SERVERS,
    /** Most servers of the other domain do not respond. */
    CUT,
    /** The loads of the other domain are too old. */
    STALE,
    /** This domain has no server that can be used. */
    NO_SERVERS_HERE
  }

  /** Returns the fields of the log line, without a service. */
  public String logFields() {
    return String.format(
        Locale.ROOT,
        "from=%s to=%s share=%.2f before=%.2f cause=%s here_ms=%.0f there_ms=%.0f crossing_ms=%.1f"
            + " age_ms=%d",
        from,
        to,
        after,
        before,
        cause.name().toLowerCase(Locale.ROOT),
        hereMs,
        thereMs,
        crossingMs,
        ageMs);
  }
}
