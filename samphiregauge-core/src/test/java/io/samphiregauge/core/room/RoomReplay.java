package io.samphiregauge.core.room;

import io.samphiregauge.core.RandomSource;
import io.samphiregauge.core.backend.BackendServer;
import io.samphiregauge.core.dispatch.Sampling;
import io.samphiregauge.core.dispatch.ServerChooser;
import io.samphiregauge.core.dispatch.ServerLoad;
import io.samphiregauge.core.exchange.LoadExchange;
import io.samphiregauge.schema.peer.BackendLoad;
import io.samphiregauge.schema.peer.BackendLoads;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.DoubleUnaryOperator;
import java.util.function.UnaryOperator;

/**
 * Replays the arrivals of one service through the decisions of many entries, whose loads travel by
 * the {@link LoadExchange}. The servers only count: each runs its slots, queues a few more and
 * rejects the rest.
 */
final class RoomReplay {
  private static final String SERVICE = "checkout";
  private static final long LINK_MS = 3;
  private static final long RETRY_HELD_MS = 50;
  private static final double MEAN_WORK_MS = 57;
  private static final long PATIENCE_MS = 4_000;

  final List<Entry> entries = new ArrayList<>();
  final List<Server> servers = new ArrayList<>();
  private final List<LoadExchange.Peer> peers = new ArrayList<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::number));
  private final SplittableRandom random;
  private final Mode mode;
  private long eventCount;
  long nowMs;
  long sends;
  long rejections;
  long heldWithRoom;
  long arrivals;
  double busySlotMs;
  double busyWantedMs;

  /** What the entries do with the account. */
  enum Mode {
    /** Nothing, as before it existed. */
    UNUSED,
    /** They only choose servers by it. */
    SPREADING,
    /** They also hold requests back while they have no free place. */
    HOLDING
  }

  private record Event(long atMs, long number, Runnable action) {}

  /** Creates entries and servers, evenly over the failure domains. */
  RoomReplay(int entryCount, int serverCount, int slots, int queue, Mode mode, long seed) {
    this.mode = mode;
    this.random = new SplittableRandom(seed);
    for (int i = 0; i < entryCount; i++) {
      String domain = "d" + i * 3 / entryCount;
      peers.add(new LoadExchange.Peer(domain + "-%03d".formatted(i), domain, "p" + i));
    }
    for (int i = 0; i < serverCount; i++) {
      servers.add(new Server(i, slots, queue));
    }
    for (int i = 0; i < entryCount; i++) {
      Entry entry = new Entry(i);
      entries.add(entry);
      at(random.nextLong(LoadExchange.sendPeriodMs(entryCount)), entry::exchangeLoads);
    }
    at(0, this::measure);
  }

  void at(long delayMs, Runnable action) {
    events.add(new Event(nowMs + delayMs, eventCount++, action));
  }

  /** Runs arrivals for some time, at a rate relative to the slots, as a function of the seconds. */
  void run(long durationMs, DoubleUnaryOperator ratePerCapacity) {
    long endMs = nowMs + durationMs;
    double capacityPerMs =
        servers.stream().filter(s -> s.up).mapToInt(s -> s.slots).sum() / MEAN_WORK_MS;
    double nextMs = nowMs;
    while (nextMs < endMs) {
      double rate = capacityPerMs * ratePerCapacity.applyAsDouble((nextMs - nowMs) / 1_000.0);
      nextMs += -Math.log(1 - random.nextDouble()) / Math.max(rate, 1e-9);
      // Half of the callers use a tenth of the entries.
      int entry =
          random.nextInt(random.nextBoolean() ? Math.max(1, entries.size() / 10) : entries.size());
      at((long) nextMs - nowMs, () -> entries.get(entry).onArrival());
    }
    while (!events.isEmpty() && events.peek().atMs() <= endMs) {
      Event event = events.remove();
      nowMs = event.atMs();
      event.action().run();
    }
    nowMs = endMs;
  }

  /** Adds up the time of busy slots, and of slots that held requests could have used. */
  private void measure() {
    int held = entries.stream().mapToInt(entry -> entry.held.size()).sum();
    int busy = 0;
    int total = 0;
    for (Server server : servers) {
      if (server.up) {
        busy += Math.min(server.slots, server.inFlight);
        total += server.slots;
      }
    }
    busySlotMs += busy;
    busyWantedMs += Math.min(total, busy + held);
    at(1, this::measure);
  }

  /** Share of the slots in use, of those that requests at the entries could have used. */
  double usedShare() {
    return busySlotMs / busyWantedMs;
  }

  double rejectedShare() {
    return (double) rejections / arrivals;
  }

  /** Begins to count anew. */
  void resetCounts() {
    arrivals = 0;
    rejections = 0;
    heldWithRoom = 0;
    busySlotMs = 0;
    busyWantedMs = 0;
  }

  final class Server {
    final String id;
    final int slots;
    int queue;
    int inFlight;
    boolean up = true;
    boolean rejectsAll;
    double slowness = 1;
    long received;
    private final Deque<Runnable> waiting = new ArrayDeque<>();

    Server(int index, int slots, int queue) {
      this.id = "s" + index;
      this.slots = slots;
      this.queue = queue;
    }

    BackendServer announcement() {
      String domain = "d" + Integer.parseInt(id.substring(1)) % 3;
      return new BackendServer(
          id, 1, SERVICE, "v1", "10.0.0.1:80", domain, slots, false, Optional.empty(), false);
    }

    void receive(Runnable onEnd, Runnable onRejected) {
      received++;
      if (rejectsAll || inFlight >= slots + queue) {
        rejections++;
        at(LINK_MS, onRejected);
        return;
      }
      inFlight++;
      Runnable work =
          () ->
              at(
                  Math.max(
                      1, (long) (-Math.log(1 - random.nextDouble()) * MEAN_WORK_MS * slowness)),
                  () -> end(onEnd));
      if (inFlight <= slots) {
        work.run();
      } else {
        waiting.add(work);
      }
    }

    private void end(Runnable onEnd) {
      inFlight--;
      Optional.ofNullable(waiting.poll()).ifPresent(Runnable::run);
      at(LINK_MS, onEnd);
    }
  }

  final class Entry {
    final RandomSource source = random.split()::nextLong;
    final Map<String, ServerLoad> loads = new HashMap<>();
    final RoomLedger ledger = new RoomLedger(load -> true, source);
    final Deque<Long> held = new ArrayDeque<>();
    final LoadExchange exchange;
    final ServerChooser chooser;
    boolean deaf;
    boolean mute;
    boolean killed;
    long messageDelayMs = LINK_MS;
    UnaryOperator<BackendLoads> claims = UnaryOperator.identity();

    Entry(int index) {
      LoadExchange.Peer self = peers.get(index);
      exchange = new LoadExchange(self.vm(), self.domain());
      chooser = new ServerChooser(self.domain(), Sampling.randomSubset(self.domain(), source));
      servers.forEach(s -> loads.put(s.id, new ServerLoad(s.announcement(), 0, MEAN_WORK_MS)));
      updateServers();
    }

    /** Takes over which servers are announced. */
    void updateServers() {
      servers.stream().filter(s -> !s.up).forEach(s -> loads.remove(s.id));
      ledger.update(Map.of(SERVICE, List.copyOf(loads.values())));
    }

    private void exchangeLoads() {
      at(LoadExchange.sendPeriodMs(peers.size()), this::exchangeLoads);
      exchange.setOwnDemands(ledger.ownDemands(nowMs));
      List<BackendLoad> own =
          loads.values().stream()
              .filter(load -> load.inFlight() > 0)
              .map(load -> new BackendLoad(load.key(), 0, load.inFlight()))
              .toList();
      exchange
          .messages(peers, own, List.of(), nowMs)
          .forEach(
              outgoing ->
                  outgoing.addresses().stream()
                      .map(address -> entries.get(Integer.parseInt(address.substring(1))))
                      .filter(other -> !mute && !other.deaf)
                      .forEach(
                          other ->
                              at(
                                  messageDelayMs,
                                  () -> {
                                    other.exchange.receive(claims.apply(outgoing.message()), nowMs);
                                    at(40, other::applyLoads);
                                  })));
      applyLoads();
    }

    private void applyLoads() {
      Map<Integer, BackendLoad> others = new HashMap<>();
      exchange.otherEntriesLoads(nowMs).forEach(load -> others.put(load.getBackend(), load));
      loads
          .values()
          .forEach(
              load ->
                  load.setOtherEntriesLoad(
                      Optional.ofNullable(others.get(load.key()))
                          .map(BackendLoad::getRunning)
                          .orElse(0),
                      0));
      GroupState group =
          new GroupState(
              peers.size(), exchange.hearsOthers(nowMs), LoadExchange.maxAgeMs(peers.size()));
      ledger.recordExchange(exchange.otherEntriesDemands(nowMs), group, nowMs);
      sendHeld();
    }

    void onArrival() {
      if (killed) {
        entries.get(random.nextInt(entries.size())).onArrival();
        return;
      }
      arrivals++;
      ledger.recordArrival(SERVICE, nowMs);
      held.addLast(nowMs);
      sendHeld();
      int inFlight = servers.stream().filter(s -> s.up).mapToInt(s -> s.inFlight).sum();
      int slots = servers.stream().filter(s -> s.up).mapToInt(s -> s.slots).sum();
      if (!held.isEmpty() && 2 * inFlight < slots) {
        heldWithRoom++;
      }
      at(RETRY_HELD_MS, this::sendHeld);
    }

    private void sendHeld() {
      if (killed) {
        return;
      }
      held.removeIf(arrivedMs -> arrivedMs < nowMs - PATIENCE_MS);
      while (!held.isEmpty() && (mode != Mode.HOLDING || ledger.freePlaces(SERVICE, nowMs) > 0)) {
        held.removeFirst();
        send();
      }
    }

    private void send() {
      List<ServerLoad> all = List.copyOf(loads.values());
      ServerLoad load =
          chooser
              .chooseServer(mode == Mode.UNUSED ? all : ledger.narrow(SERVICE, all, nowMs), nowMs)
              .orElseThrow();
      long sentAtMs = nowMs;
      sends++;
      load.recordSent(0);
      ledger.recordChosen(load, nowMs);
      Server server =
          servers.stream().filter(s -> s.id.equals(load.server().id())).findFirst().get();
      at(
          LINK_MS,
          () ->
              server.receive(
                  () -> {
                    load.recordEnded();
                    load.recordResponse(nowMs - sentAtMs);
                    ledger.recordAccepted(load, sentAtMs, nowMs);
                    sendHeld();
                  },
                  () -> onRejected(load, sentAtMs)));
    }

    private void onRejected(ServerLoad load, long sentAtMs) {
      RejectionCause cause =
          RejectionCause.of(
              true, false, nowMs - sentAtMs, load.totalInFlight(), load.server().slots());
      load.recordEnded();
      ledger.recordRejection(load, cause, sentAtMs, nowMs);
    }

    /** Ends the process; its requests run on at the servers, and nobody waits for them. */
    void kill() {
      killed = true;
      mute = true;
      deaf = true;
      held.clear();
    }
  }
}
