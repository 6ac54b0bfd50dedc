package io.samphiregauge.core.spill;

import io.samphiregauge.core.dispatch.ServerLoad.Observations;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Learns how much time and how many failures the way to another failure domain adds, by comparing
 * its responses with those of the own domain. Forgets it with time, so that a link that has
 * recovered is used again. Not thread-safe.
 */
final class LinkObserver {
  /** Cost of a failed request, in milliseconds: it is sent again and runs a second time. */
  private static final double FAILURE_COST_MS = 400;

  /** Number of requests after which new observations outweigh the earlier ones. */
  private static final double HALF_WEIGHT_REQUESTS = 10;

  /** Time in which a penalty that is not confirmed falls to a third. */
  private static final double FORGET_MS = 5_000;

  private final String domain;
  private final Map<String, Link> links = new HashMap<>();
  private double ownExcessMs;

  private static final class Link {
    private double extraMs;
    private double failureRate;
    private long heardAtMs = Long.MIN_VALUE / 2;
    private long updatedAtMs;
  }

  LinkObserver(String domain) {
    this.domain = domain;
  }

  /**
   * Records what was seen of the servers of the own domain; called before {@link #record}.
   *
   * @param seen the observations since the last call
   */
  void recordOwn(Observations seen) {
    if (seen.responses() > 0) {
      double meanMs = seen.excessMs() / seen.responses();
      ownExcessMs += weight(seen.responses()) * (meanMs - ownExcessMs);
    }
  }

  /**
   * Records what was seen of the servers of another domain.
   *
   * @param other the other domain
   * @param seen the observations since the last call
   * @param nowMs monotonic time in milliseconds
   */
  void record(String other, Observations seen, long nowMs) {
    if (other.equals(domain)) {
      return;
    }
    Link link = links.computeIfAbsent(other, name -> new Link());
    double kept = Math.exp(-(nowMs - link.updatedAtMs) / FORGET_MS);
    link.updatedAtMs = nowMs;
    int requests = seen.responses() + seen.failures();
    if (requests == 0) {
      link.extraMs *= kept;
      link.failureRate *= kept;
      return;
    }
    double failed = (double) seen.failures() / requests;
    link.failureRate += weight(requests) * (failed - link.failureRate);
    if (seen.responses() > 0) {
      double extraMs = Math.max(0, seen.excessMs() / seen.responses() - ownExcessMs);
      link.extraMs += weight(seen.responses()) * (extraMs - link.extraMs);
      link.heardAtMs = nowMs;
    }
  }

  private static double weight(int requests) {
    return requests / (requests + HALF_WEIGHT_REQUESTS);
  }

  /** Returns the time that the way to a domain adds, with the cost of failures. */
  double extraMs(String other) {
    return Optional.ofNullable(links.get(other))
        .map(link -> link.extraMs + link.failureRate * FAILURE_COST_MS)
        .orElse(0.0);
  }

  /** Returns when a server of a domain last responded, in monotonic milliseconds. */
  long heardAtMs(String other) {
    return Optional.ofNullable(links.get(other))
        .map(link -> link.heardAtMs)
        .orElse(Long.MIN_VALUE / 2);
  }
}
