package io.samphiregauge.core.queue;

import io.samphiregauge.core.admit.AdmissionPolicy;
import io.samphiregauge.core.room.WorkRequest;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Replays a load through the decisions of the queues of several entries, against servers with a
 * number of places. Each entry may send to the places that are free now, in turn.
 */
final class QueueReplay {
  static final int PLACES = 48;

  /** What decides on the requests: the queues, or the admission policy that was used before. */
  enum Decisions {
    QUEUES,
    ADMISSION_POLICY
  }

  /** A kind of request, with its worth on time and late. */
  record Kind(
      String name,
      int rank,
      double workMs,
      long objectiveMs,
      long patienceMs,
      long deadlineMs,
      double worth,
      double lateWorth) {}

  /** Short urgent requests and long ones that share a service. */
  static final Kind SHORT = new Kind("short", 0, 60, 250, 2_000, 3_000, 2.4, 0.3);

  static final Kind LONG = new Kind("long", 2, 400, 1_200, 4_800, 5_000, 4.7, 2.1);

  /** Rate of a kind at a time, relative to its share of the capacity. */
  interface Shape {
    double factor(Kind kind, long nowMs);
  }

  /** One request of a caller, over all its attempts. */
  static final class Call {
    final int id;
    final Kind kind;
    final String team;
    final long bornMs;
    final double workMs;
    final boolean abusive;
    int attempts;
    boolean served;
    boolean onTime;
    long sentMs;
    boolean keptReturn;
    boolean refusedAfterReturn;

    Call(int id, Kind kind, String team, long bornMs, double workMs, boolean abusive) {
      this.id = id;
      this.kind = kind;
      this.team = team;
      this.bornMs = bornMs;
      this.workMs = workMs;
      this.abusive = abusive;
    }

    double earned() {
      return served ? worthAt(sentMs) : 0;
    }

    double worthAt(long nowMs) {
      if (nowMs > bornMs + kind.deadlineMs()) {
        return 0;
      }
      boolean inTime = nowMs <= bornMs + kind.objectiveMs();
      return size() * (inTime ? kind.worth() : kind.lateWorth());
    }

    double size() {
      return 0.3 + 0.7 * Math.min(4, workMs / kind.workMs());
    }
  }

  private record Attempt(Call call, long atMs, boolean promised) {}

  final List<Call> calls = new ArrayList<>();
  final List<Long> returnsMs = new ArrayList<>();
  int refusals;
  int refusalsWithRoom;
  private final Decisions decisions;
  private final SplittableRandom random;
  private final List<ServiceQueue> queues = new ArrayList<>();
  private final Map<Long, Attempt> waiting = new HashMap<>();
  private final PriorityQueue<Attempt> arriving =
      new PriorityQueue<>(Comparator.comparingLong(Attempt::atMs));
  private final PriorityQueue<Double> busyUntilMs = new PriorityQueue<>();
  private final Deque<Attempt> serverQueue = new ArrayDeque<>();
  private final Set<Integer> returned = new HashSet<>();
  private final int entries;
  private final double abusiveShare;
  private int places = PLACES;
  private long nextNumber;

  QueueReplay(Decisions decisions, int entries, double abusiveShare, long seed) {
    this.entries = entries;
    this.decisions = decisions;
    this.abusiveShare = abusiveShare;
    this.random = new SplittableRandom(seed);
    for (int entry = 0; entry < entries; entry++) {
      queues.add(new ServiceQueue(new QueueLimits(256, 1 << 20), 0));
    }
  }

  /** Plays until all requests that arrive before a time have ended. */
  void run(Shape shape, long endMs, Map<Long, Integer> placesFrom) {
    TreeMap<Long, Integer> changes = new TreeMap<>(placesFrom);
    double[] nextMs = {0, 0};
    Kind[] kinds = {SHORT, LONG};
    for (long nowMs = 0; nowMs < endMs + 6_000; nowMs++) {
      if (changes.containsKey(nowMs)) {
        places = changes.get(nowMs);
      }
      while (!busyUntilMs.isEmpty() && busyUntilMs.peek() <= nowMs) {
        busyUntilMs.remove();
      }
      for (int k = 0; k < kinds.length && nowMs < endMs; k++) {
        while (nextMs[k] <= nowMs) {
          arriving.add(new Attempt(newCall(kinds[k], nowMs), nowMs, false));
          double perMs = 0.5 * PLACES / kinds[k].workMs() * shape.factor(kinds[k], nowMs);
          nextMs[k] += -Math.log(1 - random.nextDouble()) / perMs;
        }
      }
      serve(nowMs);
      while (!arriving.isEmpty() && arriving.peek().atMs() <= nowMs) {
        arrive(arriving.remove(), nowMs);
      }
    }
  }

  private Call newCall(Kind kind, long nowMs) {
    // The teams are of very uneven size: the first sends half of all requests.
    int team = 0;
    while (team < 5 && random.nextBoolean()) {
      team++;
    }
    double workMs = kind.workMs() * (0.25 + 1.5 * random.nextDouble() * random.nextDouble() * 2);
    boolean abusive = random.nextDouble() < abusiveShare;
    Call call = new Call(calls.size(), kind, "team" + team, nowMs, workMs, abusive);
    calls.add(call);
    return call;
  }

  private int free() {
    return Math.max(0, places - busyUntilMs.size());
  }

  private void serve(long nowMs) {
    if (decisions == Decisions.ADMISSION_POLICY) {
      while (free() > 0 && !serverQueue.isEmpty()) {
        start(serverQueue.remove(), nowMs);
      }
      return;
    }
    for (int turn = 0; turn < entries; turn++) {
      ServiceQueue queue = queues.get((int) ((nowMs + turn) % entries));
      if (queue.size() > 0 && (free() > 0 || nowMs % 50 == 0)) {
        apply(queue.advance(free(), nowMs), nowMs);
      }
    }
  }

  private void arrive(Attempt attempt, long nowMs) {
    attempt.call().attempts++;
    if (decisions == Decisions.ADMISSION_POLICY) {
      arriveAtServers(attempt, nowMs);
      return;
    }
    Call call = attempt.call();
    long number = nextNumber++;
    waiting.put(number, attempt);
    WorkRequest work =
        new WorkRequest(
            number,
            "service",
            call.team,
            call.kind.rank(),
            Math.round(call.workMs * 10),
            0,
            nowMs,
            call.bornMs + call.kind.objectiveMs(),
            givesUpAtMs(call, nowMs));
    QueuedRequest request =
        new QueuedRequest(
            work,
            call.kind.name(),
            "",
            "call" + call.id,
            call.bornMs + call.kind.deadlineMs(),
            1_000,
            0);
    // A caller keeps its connections to an entry, so it mostly returns there.
    apply(queues.get(call.id % entries).offer(request, free(), nowMs), nowMs);
  }

  private void arriveAtServers(Attempt attempt, long nowMs) {
    double queuedMs = serverQueue.stream().mapToDouble(queued -> queued.call().workMs).sum();
    double expectedMs = queuedMs / Math.max(1, places) + attempt.call().workMs;
    long patienceMs = givesUpAtMs(attempt.call(), nowMs) - nowMs;
    AdmissionPolicy.decide(expectedMs, patienceMs, random.nextDouble())
        .ifPresentOrElse(
            refusal -> onRefused(attempt, refusal.retryAfterMs(), false, nowMs),
            () -> serverQueue.add(attempt));
  }

  /** Callers abandon each attempt after a time without a response. */
  private static long givesUpAtMs(Call call, long arrivedAtMs) {
    return Math.min(call.bornMs + call.kind.deadlineMs(), arrivedAtMs + call.kind.patienceMs());
  }

  private void apply(List<QueueDecision> decided, long nowMs) {
    for (QueueDecision decision : decided) {
      if (decision instanceof QueueDecision.Send) {
        start(waiting.remove(decision.request().work().number()), nowMs);
      }
    }
    for (QueueDecision decision : decided) {
      if (decision instanceof QueueDecision.Refuse refuse) {
        boolean hadTime = refuse.request().work().givesUpAtMs() - nowMs > 20;
        refusalsWithRoom += hadTime && free() > 0 ? 1 : 0;
        Attempt refused = waiting.remove(refuse.request().work().number());
        onRefused(refused, refuse.returnAfterMs(), refuse.promised(), nowMs);
      }
    }
  }

  private void start(Attempt attempt, long nowMs) {
    Call call = attempt.call();
    double endMs = nowMs + call.workMs;
    call.sentMs = nowMs;
    call.served = nowMs <= givesUpAtMs(call, attempt.atMs());
    call.onTime = nowMs <= call.bornMs + call.kind.objectiveMs();
    call.keptReturn |= attempt.promised();
    if (call.served) {
      busyUntilMs.add(endMs);
    }
  }

  private void onRefused(Attempt attempt, long returnAfterMs, boolean kept, long nowMs) {
    Call call = attempt.call();
    refusals++;
    call.refusedAfterReturn |= attempt.promised();
    long leftMs = call.bornMs + call.kind.deadlineMs() - nowMs;
    if (call.abusive && call.attempts < 6) {
      arriving.add(new Attempt(call, nowMs + 5, false));
    } else if (returned.add(call.id) && leftMs > 0) {
      returnsMs.add(nowMs + returnAfterMs);
      arriving.add(new Attempt(call, nowMs + returnAfterMs, kept));
    }
  }

  double earned(long fromMs, long toMs) {
    return in(fromMs, toMs).stream().mapToDouble(Call::earned).sum();
  }

  List<Call> in(long fromMs, long toMs) {
    return calls.stream().filter(call -> call.bornMs >= fromMs && call.bornMs < toMs).toList();
  }

  /**
   * Returns what a scheduler earns that knows the work and the worth of each request: it always
   * sends the one with the highest worth for its work, and leaves out what has become late while
   * others are on time.
   */
  double bestEarned(long fromMs, long toMs, int roomPlaces) {
    Deque<Call> arrivals = new ArrayDeque<>(in(fromMs, toMs));
    List<Call> known = new ArrayList<>();
    PriorityQueue<Double> busy = new PriorityQueue<>();
    double earned = 0;
    for (long nowMs = fromMs; nowMs < toMs; nowMs++) {
      while (!arrivals.isEmpty() && arrivals.peek().bornMs <= nowMs) {
        known.add(arrivals.remove());
      }
      while (!busy.isEmpty() && busy.peek() <= nowMs) {
        busy.remove();
      }
      long timeMs = nowMs;
      known.removeIf(call -> call.worthAt(timeMs) == 0);
      while (busy.size() < roomPlaces && !known.isEmpty()) {
        Call best =
            known.stream()
                .max(Comparator.comparingDouble(call -> call.worthAt(timeMs) / call.workMs))
                .orElseThrow();
        known.remove(best);
        earned += best.worthAt(timeMs);
        busy.add(nowMs + best.workMs);
      }
    }
    return earned;
  }
}
