package io.samphiregauge.core.queue;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The recent share of requests that were sent, by group: all, a kind, its largest tenth, a subject.
 * Not thread-safe.
 */
final class ServedShares {
  /** Weight of the newest request; the share follows about the last 50 requests of a group. */
  private static final double WEIGHT = 0.02;

  /** Only one request in ten counts for the largest tenth. */
  private static final double LARGE_WEIGHT = 0.1;

  /** Subjects fail as a whole when few of their requests are sent, so each one weighs more. */
  private static final double SUBJECT_WEIGHT = 0.3;

  /** The largest tenth is to be sent 0.8 times as often as its kind; below this it goes first. */
  private static final double LARGE_FLOOR = 0.95;

  /** A kind is to be sent at least a quarter as often as all requests; this leaves a margin. */
  private static final double KIND_FLOOR = 0.32;

  private static final double SUBJECT_FLOOR = 0.4;

  /** Bounds the memory; the groups that were asked for least recently are forgotten. */
  private static final int MAX_GROUPS = 4_096;

  private static final String ALL = "all";

  private final Map<String, Double> shares =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Double> eldest) {
          return size() > MAX_GROUPS;
        }
      };

  void record(Waiting waiting, boolean sent) {
    String kind = kindOf(waiting);
    record(ALL, sent, WEIGHT);
    record(kind, sent, WEIGHT);
    if (waiting.large()) {
      record(largeOf(kind), sent, LARGE_WEIGHT);
    }
    if (!waiting.request().subject().isEmpty()) {
      record(subjectOf(waiting), sent, SUBJECT_WEIGHT);
    }
  }

  private void record(String group, boolean sent, double weight) {
    double share = share(group);
    shares.put(group, share + weight * ((sent ? 1 : 0) - share));
  }

  /** Returns whether a group of this request is sent so rarely that the request goes first. */
  boolean isOwed(Waiting waiting) {
    String kind = kindOf(waiting);
    double kindShare = share(kind);
    return kindShare < KIND_FLOOR * share(ALL)
        || share(subjectOf(waiting)) < SUBJECT_FLOOR * kindShare;
  }

  /** Returns whether the largest requests of its kind are sent too rarely and it is one of them. */
  boolean isLargeOwed(Waiting waiting) {
    String kind = kindOf(waiting);
    return waiting.large() && share(largeOf(kind)) < LARGE_FLOOR * share(kind);
  }

  private double share(String group) {
    return shares.getOrDefault(group, 1.0);
  }

  private static String kindOf(Waiting waiting) {
    return "kind " + waiting.request().kind();
  }

  private static String largeOf(String kind) {
    return "largest of " + kind;
  }

  private static String subjectOf(Waiting waiting) {
    return "subject " + waiting.request().subject();
  }
}
