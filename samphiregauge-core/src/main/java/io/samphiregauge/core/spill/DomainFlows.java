package io.samphiregauge.core.spill;

import io.samphiregauge.core.spill.FlowChange.Cause;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Decides which part of one failure domain's work for a service goes to each other domain. Performs
 * no I/O. Not thread-safe.
 *
 * <p>Every entry of the domain decides for its own requests, from nearly the same figures. Because
 * it decides on a part of its work, the parts of many entries add up to the same part of the
 * domain's work. A flow grows by bounded steps that are further apart than the figures are old, so
 * that each step sees what the last one did, and takes at most half of the other domain's spare
 * capacity, divided among all domains that would gain from it.
 */
public final class DomainFlows {
  /** Largest part of the work by which one flow changes in a step. */
  static final double MAX_STEP = 0.15;

  private static final double MIN_STEP = 0.02;

  /** A domain with servers keeps at least the rest of its work. */
  private static final double MAX_TOTAL = 0.8;

  /** Limit of a flow to a domain that has not shown that it works. */
  static final double TRIAL_SHARE = 0.05;

  /** Gain above which a flow grows; between 0 and this it stays. */
  private static final double RAISE_MS = 20;

  /**
   * Time without a gain after which a flow shrinks. Longer than two bursts that alternate every 2.8
   * s, so that the flow does not follow them.
   */
  static final long HOLD_MS = 6_000;

  /** Age above which nothing is sent: two messages in a row were lost on the way of three hops. */
  static final long MAX_AGE_MS = 1_250;

  /** Cost of each millisecond of age; the figures err by more, but the steps are bounded. */
  private static final double ERROR_PER_AGE_MS = 0.03;

  /** Time in which a difference of the waits is to be worked off. */
  private static final double HORIZON_MS = 2_000;

  /** Utilization above which a domain whose requests wait has no room for those of others. */
  private static final double FULL = 0.9;

  /** Wait of a full domain that its own callers notice: half of a short request's objective. */
  private static final double NOTICED_WAIT_MS = 125;

  /** A flow that ends the difference of the waits within this time is large enough. */
  private static final double CLOSING_MS = 4_000;

  /** Part by which a flow shrinks in a step. */
  private static final double SHRINK = 0.25;

  /**
   * Time for which a domain is full before flows to it shrink: longer than an alternating burst.
   */
  private static final long FULL_MS = 3_000;

  private static final long MIN_STEP_PERIOD_MS = 300;

  /** Time in which a request that was sent shows in the loads, besides the age of the loads. */
  private static final long SETTLING_MS = 150;

  private final String domain;
  private final Map<String, Flow> flows = new TreeMap<>();

  /** The state of the flow to one domain. */
  private static final class Flow {
    private double share;
    private double openPart;
    private double lastGainMs;
    private long lastLookMs;
    private long notFullAtMs;
    private long waitSeenAtMs = Long.MIN_VALUE / 2;
    private long lastStepMs = Long.MIN_VALUE / 2;
    private long lastGainAtMs = Long.MIN_VALUE / 2;

    /** Returns the time in which the gain will have ended if it goes on as since the last look. */
    private double closingMs(double gainMs, long nowMs) {
      double fallen = lastGainMs - gainMs;
      double closing = fallen > 0 ? gainMs * (nowMs - lastLookMs) / fallen : Double.MAX_VALUE;
      lastGainMs = gainMs;
      lastLookMs = nowMs;
      return closing;
    }
  }

  /**
   * Creates the flows of a domain; nothing leaves it at first.
   *
   * @param domain the failure domain
   */
  public DomainFlows(String domain) {
    this.domain = domain;
  }

  /** Returns the part of the work that goes to another domain, from 0 to 1. */
  public double share(String other) {
    return Optional.ofNullable(flows.get(other)).map(flow -> flow.share).orElse(0.0);
  }

  /**
   * Returns the part of the work that may go to another domain now. It is less than the flow while
   * requests wait there, because a domain whose requests wait has little spare capacity.
   */
  public double openShare(String other) {
    return Optional.ofNullable(flows.get(other))
        .map(flow -> flow.share * flow.openPart)
        .orElse(0.0);
  }

  private double totalShare() {
    return flows.values().stream().mapToDouble(flow -> flow.share).sum();
  }

  /**
   * Updates the flows.
   *
   * @param loads what is known of each domain
   * @param crossingMs cost of leaving for a request of the usual size, in milliseconds
   * @param nowMs monotonic time in milliseconds
   * @return the changes
   */
  public List<FlowChange> update(List<DomainLoad> loads, double crossingMs, long nowMs) {
    Optional<DomainLoad> here =
        loads.stream().filter(load -> load.domain().equals(domain)).findFirst();
    List<DomainLoad> others = loads.stream().filter(load -> !load.domain().equals(domain)).toList();
    others.forEach(load -> flows.computeIfAbsent(load.domain(), name -> new Flow()));
    List<FlowChange> changes = new ArrayList<>();
    boolean empty = here.filter(load -> load.servers() > 0).isEmpty();
    DomainLoad own = here.orElseGet(() -> emptyDomain(domain));
    for (Map.Entry<String, Flow> entry : flows.entrySet()) {
      Flow flow = entry.getValue();
      DomainLoad other =
          others.stream()
              .filter(load -> load.domain().equals(entry.getKey()))
              .findFirst()
              .orElseGet(() -> emptyDomain(entry.getKey()));
      double before = flow.share;
      flow.openPart = empty ? 1 : Math.max(0, 1 - other.waitMs() / (2 * NOTICED_WAIT_MS));
      Optional<Cause> cause =
          empty
              ? leave(flow, other, others, nowMs)
              : adjust(flow, own, other, new Situation(loads, crossingMs, nowMs));
      cause
          .filter(why -> flow.share != before)
          .map(why -> change(own, other, before, flow.share, why, crossingMs))
          .ifPresent(changes::add);
    }
    return changes;
  }

  private record Situation(List<DomainLoad> loads, double crossingMs, long nowMs) {}

  private static DomainLoad emptyDomain(String name) {
    return new DomainLoad(name, 0, 0, 0, 0, 0, true, true);
  }

  private FlowChange change(
      DomainLoad own, DomainLoad other, double before, double after, Cause why, double crossingMs) {
    return new FlowChange(
        domain,
        other.domain(),
        before,
        after,
        why,
        own.waitMs(),
        other.waitMs(),
        crossingMs + other.linkMs(),
        Math.max(own.ageMs(), other.ageMs()));
  }

  private static Optional<Cause> blocked(DomainLoad other) {
    if (other.servers() == 0) {
      return Optional.of(Cause.NO_SERVERS);
    }
    if (!other.reachable()) {
      return Optional.of(Cause.CUT);
    }
    return other.ageMs() > MAX_AGE_MS ? Optional.of(Cause.STALE) : Optional.empty();
  }

  /** Distributes all work by the number of servers; a domain without servers cannot wait. */
  private static Optional<Cause> leave(
      Flow flow, DomainLoad other, List<DomainLoad> others, long nowMs) {
    Optional<Cause> blocked = blocked(other);
    int servers =
        others.stream().filter(load -> blocked(load).isEmpty()).mapToInt(DomainLoad::servers).sum();
    flow.share = blocked.isPresent() ? 0 : (double) other.servers() / servers;
    flow.lastStepMs = nowMs;
    return Optional.of(blocked.orElse(Cause.NO_SERVERS_HERE));
  }

  private Optional<Cause> adjust(Flow flow, DomainLoad own, DomainLoad other, Situation situation) {
    Optional<Cause> blocked = blocked(other);
    if (blocked.isPresent()) {
      flow.share = 0;
      return blocked;
    }
    double gainMs = gainMs(own, other, situation.crossingMs());
    if (gainMs > 0) {
      flow.lastGainAtMs = situation.nowMs();
    }
    long periodMs =
        Math.max(MIN_STEP_PERIOD_MS, Math.max(own.ageMs(), other.ageMs()) + SETTLING_MS);
    if (situation.nowMs() - flow.lastStepMs < periodMs) {
      return Optional.empty();
    }
    double closingMs = flow.closingMs(gainMs, situation.nowMs());
    if (other.utilization() <= FULL || other.waitMs() <= NOTICED_WAIT_MS) {
      flow.notFullAtMs = situation.nowMs();
    }
    boolean full = gainMs > 0 && situation.nowMs() - flow.notFullAtMs > FULL_MS;
    boolean badLink = other.linkMs() > Math.max(RAISE_MS, own.waitMs());
    if (full || badLink || situation.nowMs() - flow.lastGainAtMs > HOLD_MS) {
      flow.lastStepMs = situation.nowMs();
      flow.share = full ? flow.share * (1 - SHRINK) : Math.max(0, flow.share - MAX_STEP);
      Cause ended = badLink ? Cause.BAD_LINK : Cause.NO_LONGER_PAYS;
      return Optional.of(full ? Cause.OTHER_IS_FULL : ended);
    }
    if (other.waitMs() > RAISE_MS) {
      flow.waitSeenAtMs = situation.nowMs();
    }
    boolean spare = situation.nowMs() - flow.waitSeenAtMs > FULL_MS;
    if (!spare || gainMs <= RAISE_MS || (flow.share > 0 && closingMs < CLOSING_MS)) {
      return Optional.empty();
    }
    flow.lastStepMs = situation.nowMs();
    flow.share = raised(flow.share, gainMs, own, other, situation);
    return Optional.of(Cause.PAYS);
  }

  private static double gainMs(DomainLoad from, DomainLoad to, double crossingMs) {
    long ageMs = Math.max(from.ageMs(), to.ageMs());
    return from.waitMs() - to.waitMs() - crossingMs - to.linkMs() - ageMs * ERROR_PER_AGE_MS;
  }

  private double raised(
      double share, double gainMs, DomainLoad own, DomainLoad other, Situation situation) {
    int senderServers =
        situation.loads().stream()
            .filter(load -> !load.domain().equals(other.domain()))
            .filter(load -> gainMs(load, other, situation.crossingMs()) > 0)
            .mapToInt(DomainLoad::servers)
            .sum();
    double spare = Math.max(0, 1 - other.utilization()) * other.servers();
    double fairShare = spare / 2 / Math.max(own.servers(), senderServers);
    double backlogMs = gainMs / (1.0 / own.servers() + 1.0 / other.servers());
    double wanted = Math.max(MIN_STEP, backlogMs / (own.servers() * HORIZON_MS));
    double step = Math.min(MAX_STEP, Math.min(wanted, fairShare));
    double most = share + Math.max(0, MAX_TOTAL - totalShare());
    double limit = other.confirmed() ? most : Math.min(most, TRIAL_SHARE);
    return Math.max(share, Math.min(share + step, limit));
  }
}
