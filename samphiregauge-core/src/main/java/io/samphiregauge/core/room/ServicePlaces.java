package io.samphiregauge.core.room;

import io.samphiregauge.core.RandomSource;
import io.samphiregauge.core.dispatch.ServerLoad;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/** The places of one service as one entry knows them. Confined to one thread. */
final class ServicePlaces {
  /**
   * Part of the places that is shared equally. An entry whose others claim all demand, truly or
   * not, can still send.
   */
  private static final double EQUAL_PART = 0.2;

  /**
   * Time after the last send from which one request may be sent whatever the others claim. Without
   * it a peer that claims all places would keep the service from being used.
   */
  private static final long TRIAL_PERIOD_MS = 500;

  /** Equal shares that an entry may use while it does not know what the others do. */
  private static final int SHARES_WHILE_DEAF = 8;

  private static final double MS_PER_S = 1_000;

  private record Sample(long atMs, int own) {}

  /** By the key of the server's incarnation. */
  private final Map<Integer, PlaceLimit> limits = new HashMap<>();

  private final ArrivalCounter arrivals = new ArrivalCounter();
  private final Deque<Sample> ownSamples = new ArrayDeque<>();
  private final StaleLoadSpread spread = new StaleLoadSpread();
  private List<ServerLoad> servers = List.of();
  private long othersArrivals;
  private long lastChosenMs = Long.MIN_VALUE;
  private double rounding;
  private long roundingDrawnMs = Long.MIN_VALUE;

  /** Replaces the servers. */
  void update(List<ServerLoad> announced) {
    servers = announced;
    limits.keySet().retainAll(announced.stream().map(ServerLoad::key).toList());
  }

  PlaceLimit limitOf(ServerLoad load) {
    return limits.computeIfAbsent(load.key(), key -> new PlaceLimit(load.server().slots()));
  }

  void recordAccepted(ServerLoad load, long sentAtMs, long nowMs) {
    limitOf(load).recordAccepted(sentAtMs, load.totalInFlight());
    spread.recordFreed(load, nowMs);
  }

  void recordChosen(long nowMs) {
    lastChosenMs = nowMs;
  }

  void recordArrival(long nowMs) {
    arrivals.record(nowMs);
  }

  int arrivals(long nowMs) {
    return arrivals.count(nowMs);
  }

  /** Records that the loads of others were received, with their demand. */
  void recordExchange(int arrivalsOfOthers, GroupState group, RandomSource random, long nowMs) {
    othersArrivals = Math.max(0, arrivalsOfOthers);
    ownSamples.addLast(new Sample(nowMs, ownInFlight()));
    while (ownSamples.size() > 1 && secondSampleMs() <= nowMs - group.maxAgeMs()) {
      ownSamples.removeFirst();
    }
    if (roundingDrawnMs == Long.MIN_VALUE || nowMs - roundingDrawnMs >= group.maxAgeMs()) {
      roundingDrawnMs = nowMs;
      rounding = random.nextDouble();
    }
  }

  private long secondSampleMs() {
    return ownSamples.stream().skip(1).findFirst().map(Sample::atMs).orElse(Long.MAX_VALUE);
  }

  private int ownInFlight() {
    return servers.stream()
        .filter(load -> !load.server().prefillOnly())
        .mapToInt(ServerLoad::inFlight)
        .sum();
  }

  /** Sums up the servers that generate responses and are expected to accept requests. */
  ServiceUse use(Predicate<ServerLoad> usable, long nowMs) {
    int counted = 0;
    int places = 0;
    int used = 0;
    int own = 0;
    for (ServerLoad load : servers) {
      if (load.server().prefillOnly() || load.isAvoided(nowMs) || !usable.test(load)) {
        continue;
      }
      counted++;
      PlaceLimit limit = limitOf(load);
      places += limit.isPaused(nowMs) ? Math.min(limit.places(), used(load)) : limit.places();
      used += used(load);
      own += load.inFlight();
    }
    return new ServiceUse(counted, places, used, own);
  }

  /** Returns the known requests of a server; those of others are never negative. */
  private static int used(ServerLoad load) {
    return Math.max(load.inFlight(), load.totalInFlight());
  }

  /**
   * Returns how many more requests this entry may send.
   *
   * <p>While half of the places are free, any entry may use them. Otherwise the entry may use its
   * share of all places, and may also raise its requests, within the age of known loads, by its
   * share of the free places: what others leave unused. In both cases the sum over all entries
   * stays within the places, since shares add up to 1. Fractions are rounded at random, once in the
   * age of known loads.
   */
  int freePlaces(ServiceUse use, GroupState group, long nowMs) {
    if (use.servers() == 0) {
      // Nothing is known of room; the choice of the server decides whether the request is refused.
      return Integer.MAX_VALUE;
    }
    if (group.entries() <= 1) {
      return Math.max(0, use.free());
    }
    if (!group.hearsOthers()) {
      int part = Math.max(1, SHARES_WHILE_DEAF * use.places() / group.entries());
      return Math.max(0, Math.min(part, use.places()) - use.own());
    }
    if (use.isHalfFree()) {
      return use.free();
    }
    double share = share(group, nowMs);
    int ownBefore = Optional.ofNullable(ownSamples.peekFirst()).map(Sample::own).orElse(0);
    int raised = use.own() - ownBefore;
    int byShare = (int) (use.places() * share + rounding) - use.own();
    // A negative number of free places takes back what was lent too much.
    int lent = (int) Math.floor((use.free() + raised) * share + rounding) - raised;
    boolean trial = lastChosenMs == Long.MIN_VALUE || nowMs - lastChosenMs >= TRIAL_PERIOD_MS;
    return Math.max(trial ? 1 : 0, Math.max(byShare, lent));
  }

  private double share(GroupState group, long nowMs) {
    double equal = 1.0 / group.entries();
    double total = (double) othersArrivals + arrivals(nowMs);
    double byDemand = total > 0 ? arrivals(nowMs) / total : equal;
    return EQUAL_PART * equal + (1 - EQUAL_PART) * byDemand;
  }

  /**
   * Returns the candidates that have not rejected a request lately; all if none of these serves.
   */
  List<ServerLoad> withRoom(List<ServerLoad> candidates, long nowMs) {
    if (candidates.stream().allMatch(load -> hasRoom(load, nowMs))) {
      return candidates;
    }
    List<ServerLoad> open = candidates.stream().filter(load -> hasRoom(load, nowMs)).toList();
    boolean canServe =
        open.stream().anyMatch(load -> !load.server().prefillOnly() && !load.isAvoided(nowMs));
    return canServe ? open : candidates;
  }

  private boolean hasRoom(ServerLoad load, long nowMs) {
    PlaceLimit limit = limitOf(load);
    return !limit.isPaused(nowMs);
  }

  /**
   * Narrows the candidates to one that is drawn, if requests wait at any of them. Only for services
   * without prompts: which engine has cached a prompt counts more than an even load.
   */
  List<ServerLoad> spread(
      List<ServerLoad> candidates, GroupState group, RandomSource random, long nowMs) {
    boolean waiting = candidates.stream().anyMatch(load -> used(load) > load.server().slots());
    List<ServerLoad> healthy =
        waiting
            ? candidates.stream().filter(load -> !load.isAvoided(nowMs)).toList()
            : List.<ServerLoad>of();
    boolean engines = candidates.stream().anyMatch(load -> load.server().stage().isPresent());
    if (engines || healthy.size() < 2) {
      return candidates;
    }
    return List.of(
        spread.choose(healthy, expectedRequests(group, nowMs), group.maxAgeMs(), random, nowMs));
  }

  private double expectedRequests(GroupState group, long nowMs) {
    double perS =
        group.hearsOthers()
            ? (double) othersArrivals + arrivals(nowMs)
            : (double) arrivals(nowMs) * group.entries();
    return perS * group.maxAgeMs() / MS_PER_S;
  }
}
