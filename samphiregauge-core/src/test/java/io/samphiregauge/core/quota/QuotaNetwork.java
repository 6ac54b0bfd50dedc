package io.samphiregauge.core.quota;

import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.quota.CreditExchange.Outgoing;
import io.samphiregauge.core.quota.CreditExchange.Step;
import io.samphiregauge.core.quota.LenderRoster.Member;
import io.samphiregauge.core.quota.QuotaDecision.Admitted;
import io.samphiregauge.core.site.TeamQuota;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;

/** Entries that lend each other credit, a group of members, and messages that may go wrong. */
final class QuotaNetwork {
  static final String TEAM = "t";
  static final long TICK_MS = 10;
  private static final long TTL_MS = 3_000;
  private static final long LEASE_MS = 2_800;
  private static final long JOIN_MS = 1_000;
  private static final long REVOKE_MS = 5_000;
  private static final long WALL_MS = 1_700_000_000_000L;

  final SplittableRandom random;
  final TreeMap<Long, TeamQuota> limits = new TreeMap<>();
  final List<Entry> entries = new ArrayList<>();
  final TreeMap<Long, Long> admittedAtMs = new TreeMap<>();
  double lossRatio;
  double copyRatio;
  long maxDelayMs = 3;
  long storeDownUntilMs;
  long nowMs;
  long demanded;
  long passed;
  long refused;
  long messages;
  private final QuotaTolerance tolerance;
  private final Map<Member, Long> expiryByMember = new HashMap<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::order));
  private long order;
  private long generation;

  private record Event(long atMs, long order, Runnable action) {}

  QuotaNetwork(long seed, QuotaTolerance tolerance, TeamQuota quota) {
    this.random = new SplittableRandom(seed);
    this.tolerance = tolerance;
    limits.put(Long.MIN_VALUE, quota);
  }

  void at(long ms, Runnable action) {
    events.add(new Event(ms, order++, action));
  }

  Entry addEntry(String vm) {
    Entry entry = new Entry(vm);
    entries.add(entry);
    entry.start();
    return entry;
  }

  void runUntil(long endMs, Runnable eachTick) {
    for (; nowMs < endMs; nowMs += TICK_MS) {
      expireMembers();
      while (!events.isEmpty() && events.peek().atMs() <= nowMs) {
        events.poll().action().run();
      }
      eachTick.run();
      entries.forEach(Entry::flush);
    }
  }

  /** Returns the entry that lends, as far as the first entry knows. */
  Optional<Entry> lender() {
    return entries
        .get(0)
        .exchange
        .lenderOf(TEAM)
        .flatMap(
            member -> entries.stream().filter(entry -> entry.vm.equals(member.vm())).findFirst());
  }

  private void expireMembers() {
    if (expiryByMember.values().removeIf(expiresAtMs -> expiresAtMs < nowMs)) {
      generation++;
    }
  }

  /** Returns what was admitted in a window. */
  long admittedIn(long fromMs, long toMs) {
    return admittedAtMs.subMap(fromMs, toMs).values().stream().mapToLong(cost -> cost).sum();
  }

  /** One entry, whose process may be killed, frozen or cut off. */
  final class Entry {
    final String vm;
    long frozenUntilMs;
    long storeCutUntilMs;
    long peersCutUntilMs;
    boolean alive;
    private long startMs;
    private long suspendedMs;
    private Member self;
    private QuotaBorrower<Long> borrower;
    private CreditExchange exchange;
    private MembershipTracker tracker;
    private List<Member> members = List.of();
    private long knownGeneration;
    private TeamQuota quota;
    private long configReadAtMs;

    Entry(String vm) {
      this.vm = vm;
    }

    void start() {
      alive = true;
      startMs = nowMs;
      self = new Member(vm, nowMs, vm);
      borrower = new QuotaBorrower<>(tolerance, (nowMs + 1) * 1_000);
      exchange = new CreditExchange(self, tolerance);
      tracker = new MembershipTracker(LEASE_MS);
      members = List.of();
      knownGeneration = -1;
      quota = limits.firstEntry().getValue();
      configReadAtMs = Long.MIN_VALUE / 2;
      long process = startMs;
      at(nowMs + random.nextLong(300), () -> join(process));
    }

    void kill(long downMs) {
      alive = false;
      at(nowMs + downMs, this::start);
    }

    void leave(long downMs) {
      if (alive && !isStoreCut()) {
        expiryByMember.remove(self);
        generation++;
        members = members.stream().filter(member -> !member.vm().equals(vm)).toList();
        update().forEach(this::send);
      }
      kill(downMs);
    }

    /** Stops the process; the monotonic clock stands still if the VM is suspended. */
    void freeze(long durationMs, boolean suspended) {
      frozenUntilMs = nowMs + durationMs;
      suspendedMs += suspended ? durationMs : 0;
    }

    private boolean runs(long process) {
      return alive && startMs == process;
    }

    private boolean isStoreCut() {
      return nowMs < storeCutUntilMs || nowMs < storeDownUntilMs;
    }

    private DualTimestamp clock() {
      return new DualTimestamp(nowMs - suspendedMs, WALL_MS + nowMs);
    }

    private void join(long process) {
      if (!runs(process)) {
        return;
      }
      if (nowMs < frozenUntilMs) {
        at(frozenUntilMs, () -> join(process));
        return;
      }
      at(nowMs + JOIN_MS, () -> join(process));
      DualTimestamp sentAt = clock();
      Member member = self;
      long arrivesMs = nowMs + 1 + random.nextLong(20);
      at(
          arrivesMs,
          () -> {
            if (isStoreCut()) {
              return;
            }
            if (expiryByMember.put(member, nowMs + TTL_MS) == null) {
              generation++;
            }
            long joined = generation;
            List<Member> list = List.copyOf(expiryByMember.keySet());
            boolean answerLost = random.nextInt(20) == 0 && lossRatio > 0;
            TeamQuota limit = limits.floorEntry(nowMs).getValue();
            long readAtMs = nowMs;
            at(
                nowMs + 1 + random.nextLong(20),
                () -> {
                  if (runs(process) && !answerLost && !isStoreCut()) {
                    onJoined(process, sentAt, joined, list, limit, readAtMs);
                  }
                });
          });
    }

    private void onJoined(
        long process,
        DualTimestamp sentAt,
        long joined,
        List<Member> list,
        TeamQuota limit,
        long readAtMs) {
      if (nowMs < frozenUntilMs) {
        at(frozenUntilMs, () -> onJoinedIfRunning(process, sentAt, joined, list, limit, readAtMs));
        return;
      }
      quota = limit;
      configReadAtMs = readAtMs;
      tracker.recordJoined(sentAt, clock());
      if (joined != knownGeneration) {
        knownGeneration = joined;
        members = list.stream().sorted(Comparator.comparing(Member::vm)).toList();
        members.stream()
            .filter(member -> member.vm().equals(vm))
            .forEach(member -> tracker.recordPredecessor(startMs - member.startMs()));
      }
      tracker.recordListConfirmed(sentAt);
      update().forEach(this::send);
    }

    private void onJoinedIfRunning(
        long process,
        DualTimestamp sentAt,
        long joined,
        List<Member> list,
        TeamQuota limit,
        long readAtMs) {
      if (runs(process)) {
        onJoined(process, sentAt, joined, list, limit, readAtMs);
      }
    }

    private List<Outgoing> update() {
      return exchange.update(members, tracker.lease(), Map.of(TEAM, quota), clock());
    }

    private void send(Outgoing outgoing) {
      messages++;
      int copies = random.nextDouble() < lossRatio ? 0 : random.nextDouble() < copyRatio ? 2 : 1;
      for (int i = 0; i < copies; i++) {
        at(
            nowMs + 1 + random.nextLong(maxDelayMs),
            () -> {
              boolean cut = nowMs < peersCutUntilMs;
              entries.stream()
                  .filter(entry -> entry.vm.equals(outgoing.address()) && !cut)
                  .forEach(entry -> entry.receive(outgoing));
            });
      }
    }

    private void receive(Outgoing incoming) {
      if (nowMs < frozenUntilMs) {
        at(frozenUntilMs, () -> receive(incoming));
      } else if (alive && nowMs >= peersCutUntilMs) {
        update().forEach(this::send);
        apply(exchange.receive(incoming.message(), clock()));
      }
    }

    private void apply(Step step) {
      step.outgoing().forEach(this::send);
      step.received()
          .forEach(
              credit ->
                  borrower
                      .onGrant(credit.number(), credit.team(), credit.credit(), clock())
                      .forEach(this::decide));
    }

    void request(long cost) {
      demanded += cost;
      if (alive && nowMs >= frozenUntilMs && nowMs - configReadAtMs < REVOKE_MS) {
        borrower.submit(cost, TEAM, quota, cost, clock()).ifPresent(this::decide);
      }
    }

    private void decide(QuotaDecision<Long> decision) {
      if (decision.outcome() instanceof Admitted) {
        passed++;
        admittedAtMs.merge(nowMs, decision.request(), Long::sum);
      } else {
        refused++;
      }
    }

    private void flush() {
      if (!alive || nowMs < frozenUntilMs) {
        return;
      }
      borrower.sweep(clock()).forEach(this::decide);
      if (borrower.hasNeeds()) {
        update().forEach(this::send);
        QuotaBorrower.Ask ask = borrower.takeAsk(clock());
        if (!ask.needs().isEmpty()) {
          apply(exchange.ask(ask, clock()));
        }
      }
    }
  }
}
