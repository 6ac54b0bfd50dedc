package io.samphiregauge.core.suspect;

import io.samphiregauge.core.RendezvousHash;
import io.samphiregauge.schema.gateway.CrashRecord;
import io.samphiregauge.schema.peer.RecentCrash;
import io.samphiregauge.schema.peer.TraitBlock;
import io.samphiregauge.schema.peer.TraitCompletion;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.IntFunction;

/**
 * Entries that forward requests to servers in virtual time, without a store. Deadly requests crash
 * their server before the response begins. Messages between entries are delayed and lost.
 */
final class CrashSimulation {
  /** Time after a disruption for which the platform does not judge an entry. */
  static final long STABLE_MS = 3_000;

  private static final long UPDATE_DELAY_MS = 20;
  private static final long UNDECIDED_PERIOD_MS = 100;
  private static final long REPEAT_DELAY_MS = 1_000;
  private static final long QUERY_PERIOD_MS = 200;
  private static final int MAX_REPORT_DELAY_MS = 150;
  private static final int QUERIED_MEMBERS = 2;
  private static final long SERVER_RESTART_MS = 3_000;

  private final List<Entry> entries = new ArrayList<>();
  private final List<String> names = new ArrayList<>();
  private final List<Server> servers = new ArrayList<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::number));
  private final SplittableRandom random;
  private final Settings settings;
  private final List<Long> deadlyCrashesMs = new ArrayList<>();
  private final List<Long> deadlySendsMs = new ArrayList<>();
  private final List<Outcome> outcomes = new ArrayList<>();
  private final Set<String> blockedTraits = new HashSet<>();
  private final Set<String> clearedTraits = new HashSet<>();
  private long nowMs;
  private long eventCount;
  private long requestCount;
  private long sentMessages;

  private record Event(long atMs, long number, Runnable action) {}

  /**
   * Properties of the environment.
   *
   * @param entries number of entries
   * @param servers number of servers
   * @param maxDelayMs longest delay of a message between entries
   * @param loss share of the messages that are lost
   */
  record Settings(int entries, int servers, long maxDelayMs, double loss) {}

  /**
   * What became of a sound request.
   *
   * @param sentAtMs time at which the caller sent it
   * @param firstPart its first prompt part
   * @param begun whether its response began at the first attempt
   */
  record Outcome(long sentAtMs, String firstPart, boolean begun) {}

  /** A request, with the number of its attempts. */
  private static final class Request {
    private final RequestTraits traits;
    private final boolean deadly;
    private final long sentAtMs;
    private int attempts;
    private boolean begun;

    private Request(RequestTraits traits, boolean deadly, long sentAtMs) {
      this.traits = traits;
      this.deadly = deadly;
      this.sentAtMs = sentAtMs;
    }
  }

  /** A server, with the entries of the requests that it runs. */
  private static final class Server {
    private final String name;
    private final Map<Request, Entry> running = new LinkedHashMap<>();
    private int starts = 1;
    private boolean up = true;

    private Server(String name) {
      this.name = name;
    }

    private String incarnation() {
      return name + "@" + starts;
    }
  }

  /** An entry; reports and queries follow the same schedule as in the gateway. */
  private final class Entry {
    private final String name;
    private final long startedAtMs;
    private final CrashAttribution attribution;
    private final List<RecentCrash> unsent = new ArrayList<>();
    private final Set<String> unannouncedBlocks = new HashSet<>();
    private final Set<String> unreportedTraits = new LinkedHashSet<>();
    private final Set<Entry> answeredBy = new HashSet<>();
    private CrashSuspects view = CrashSuspects.none();
    private boolean updateScheduled;
    private int queries;

    private Entry(String name) {
      this.name = name;
      this.startedAtMs = nowMs;
      this.attribution = new CrashAttribution(this::onChange);
    }

    private void onChange(AttributionChange change) {
      if (change instanceof AttributionChange.Blocked) {
        blockedTraits.add(change.trait());
        announceLater(change.trait());
      } else if (change instanceof AttributionChange.Cleared) {
        clearedTraits.add(change.trait());
      }
    }

    private void updateLater() {
      updateLater(UPDATE_DELAY_MS);
    }

    private void updateLater(long delayMs) {
      if (updateScheduled) {
        return;
      }
      updateScheduled = true;
      schedule(
          delayMs,
          () -> {
            updateScheduled = false;
            reportCrashes();
            attribution.update(nowMs);
            view =
                attribution.suspects(
                    trait ->
                        RendezvousHash.select(trait, names, n -> n)
                            .filter(name::equals)
                            .isPresent());
            if (attribution.isUndecided()) {
              updateLater(UNDECIDED_PERIOD_MS);
            }
          });
    }

    private void reportCrashes() {
      List<RecentCrash> crashes = List.copyOf(unsent);
      unsent.clear();
      if (!crashes.isEmpty()) {
        long sentAtMs = nowMs;
        sendToAll(entry -> entry.onCrashes(crashes, sentAtMs));
        schedule(REPEAT_DELAY_MS, () -> sendToAll(entry -> entry.onCrashes(crashes, sentAtMs)));
      }
    }

    private void sendToAll(Consumer<Entry> message) {
      for (String receiver : names) {
        if (!receiver.equals(name)) {
          sendTo(receiver, message);
        }
      }
    }

    private void onLost(String server, List<RequestTraits> lost) {
      if (attribution.recordCrash(server, lost, nowMs, nowMs)) {
        List<List<String>> values = lost.stream().map(RequestTraits::values).toList();
        unsent.add(new RecentCrash(0L, new CrashRecord(server, values)));
        lost.forEach(request -> reportCompletionsLater(request.values()));
        updateLater();
      }
    }

    private void onCrashes(List<RecentCrash> crashes, long sentAtMs) {
      for (RecentCrash recent : crashes) {
        List<RequestTraits> lost =
            recent.getCrash().getRequests().stream().map(RequestTraits::new).toList();
        // A repeated report tells its age; the delay of a message is unknown to its receiver.
        long ageMs =
            recent.getAgeMs() + (nowMs - sentAtMs >= REPEAT_DELAY_MS ? REPEAT_DELAY_MS : 0);
        if (attribution.recordCrash(recent.getCrash().getBackend(), lost, nowMs - ageMs, nowMs)) {
          lost.forEach(request -> reportCompletionsLater(request.values()));
        }
      }
      updateLater();
    }

    private void onCompleted(RequestTraits traits) {
      List<String> concerned = attribution.recordCompletion(traits, nowMs);
      if (!concerned.isEmpty()) {
        reportCompletionsLater(concerned);
        updateLater();
      }
    }

    private void reportCompletionsLater(Collection<String> traits) {
      boolean isScheduled = !unreportedTraits.isEmpty();
      unreportedTraits.addAll(traits);
      if (!isScheduled) {
        schedule(
            random.nextLong(MAX_REPORT_DELAY_MS),
            () -> {
              List<TraitCompletion> reported =
                  attribution.completionsToReport(unreportedTraits, nowMs);
              unreportedTraits.clear();
              if (!reported.isEmpty()) {
                sendToAll(entry -> entry.onCompletions(reported));
              }
            });
      }
    }

    private void onCompletions(List<TraitCompletion> reported) {
      attribution.recordReportedCompletions(reported, nowMs);
      updateLater();
    }

    private void announceLater(String trait) {
      unannouncedBlocks.add(trait);
      schedule(
          random.nextLong(MAX_REPORT_DELAY_MS),
          () -> {
            List<TraitBlock> blocks =
                attribution.blocksToReport(nowMs).stream()
                    .filter(block -> unannouncedBlocks.remove(block.getTrait()))
                    .toList();
            if (!blocks.isEmpty()) {
              sendToAll(entry -> entry.onBlocksAnnounced(blocks));
            }
          });
    }

    private void onBlocksAnnounced(List<TraitBlock> blocks) {
      long receivedAtMs = nowMs;
      blocks.forEach(block -> unannouncedBlocks.remove(block.getTrait()));
      schedule(
          random.nextLong(MAX_REPORT_DELAY_MS),
          () -> {
            List<TraitCompletion> disproving =
                attribution.completionsDisproving(blocks, receivedAtMs, nowMs);
            if (!disproving.isEmpty()) {
              sendToAll(entry -> entry.onCompletions(disproving));
            }
          });
    }

    private void query() {
      if (answeredBy.size() >= QUERIED_MEMBERS) {
        return;
      }
      schedule(QUERY_PERIOD_MS, this::query);
      List<String> unasked =
          names.stream()
              .filter(n -> !n.equals(name))
              .filter(n -> answeredBy.stream().noneMatch(entry -> entry.name.equals(n)))
              .toList();
      Optional<String> asked = RendezvousHash.select(name + "/" + queries++, unasked, n -> n);
      sendTo(asked.orElseThrow(), entry -> entry.answer(this));
    }

    private void answer(Entry receiver) {
      var blocks = attribution.blocksToReport(nowMs);
      var crashes = attribution.crashesToReport(nowMs);
      sendTo(
          receiver.name,
          entry -> {
            if (entry.answeredBy.add(this)) {
              entry.attribution.recordReportedBlocks(blocks, nowMs);
            }
            entry.onCrashes(crashes, nowMs);
          });
    }
  }

  CrashSimulation(Settings settings, long seed) {
    this.settings = settings;
    this.random = new SplittableRandom(seed);
    for (int i = 0; i < settings.entries(); i++) {
      names.add("vm" + i);
      entries.add(new Entry("vm" + i));
    }
    for (int i = 0; i < settings.servers(); i++) {
      servers.add(new Server("s" + i));
    }
  }

  private void schedule(long delayMs, Runnable action) {
    events.add(new Event(nowMs + delayMs, eventCount++, action));
  }

  private void sendTo(String receiver, Consumer<Entry> message) {
    sentMessages++;
    if (random.nextDouble() >= settings.loss()) {
      int index = names.indexOf(receiver);
      schedule(
          random.nextLong(settings.maxDelayMs() + 1), () -> message.accept(entries.get(index)));
    }
  }

  /**
   * Lets requests arrive at random entries, at random times.
   *
   * @param fromMs time of the earliest request
   * @param untilMs time of the latest request
   * @param perSecond mean rate over all entries
   * @param deadly whether the requests crash their servers
   * @param parts returns the shared prompt parts of a request by its number
   */
  void addRequests(
      long fromMs,
      long untilMs,
      double perSecond,
      boolean deadly,
      IntFunction<List<String>> parts) {
    long atMs = fromMs;
    int number = 0;
    while (true) {
      atMs += Math.max(1, (long) (-Math.log(1 - random.nextDouble()) * 1_000 / perSecond));
      if (atMs >= untilMs) {
        return;
      }
      List<String> values = new ArrayList<>(parts.apply(number++));
      values.add("digest" + requestCount++);
      long sentAtMs = atMs;
      schedule(
          atMs - nowMs, () -> arrive(new Request(new RequestTraits(values), deadly, sentAtMs)));
    }
  }

  /** Crashes servers at about the same time. */
  void addServerCrashes(long atMs, int firstServer, int count, long spreadMs) {
    for (Server server : servers.subList(firstServer, firstServer + count)) {
      schedule(atMs - nowMs + random.nextLong(spreadMs + 1), () -> crash(server));
    }
  }

  /** Restarts the process of an entry, which forgets all that it knew. */
  void addRestart(long atMs, int entry) {
    schedule(
        atMs - nowMs,
        () -> {
          Entry started = new Entry(names.get(entry));
          entries.set(entry, started);
          started.query();
        });
  }

  void runUntil(long untilMs) {
    while (!events.isEmpty() && events.peek().atMs() <= untilMs) {
      Event event = events.poll();
      nowMs = event.atMs();
      event.action().run();
    }
    nowMs = untilMs;
  }

  private void arrive(Request request) {
    Entry entry = entries.get(random.nextInt(entries.size()));
    if (entry.view.blockOf(request.traits, nowMs).isPresent()) {
      Optional<String> trial = entry.view.tryStartTrial(request.traits, nowMs);
      if (trial.isEmpty()) {
        finish(request, false);
        return;
      }
      entry.attribution.recordTrialStarted(trial.get(), nowMs);
      entry.updateLater();
    }
    forward(request, entry);
  }

  private void forward(Request request, Entry entry) {
    List<Server> up = servers.stream().filter(server -> server.up).toList();
    if (up.isEmpty()) {
      finish(request, false);
      return;
    }
    Server server = up.get(random.nextInt(up.size()));
    server.running.put(request, entry);
    request.attempts++;
    if (request.deadly && nowMs >= entry.startedAtMs + (entry.startedAtMs == 0 ? 0 : STABLE_MS)) {
      deadlySendsMs.add(nowMs);
    }
    int starts = server.starts;
    schedule(100 + random.nextLong(500), () -> begin(request, server, starts));
  }

  private void begin(Request request, Server server, int starts) {
    if (!server.up || server.starts != starts) {
      return;
    }
    if (request.deadly) {
      deadlyCrashesMs.add(nowMs);
      crash(server);
      return;
    }
    request.begun = true;
    server.running.get(request).onCompleted(request.traits);
    if (request.attempts == 1) {
      finish(request, true);
    }
    schedule(500 + random.nextLong(3_000), () -> server.running.remove(request));
  }

  private void crash(Server server) {
    if (!server.up) {
      return;
    }
    server.up = false;
    String incarnation = server.incarnation();
    Map<Entry, List<Request>> lost = new LinkedHashMap<>();
    server.running.forEach(
        (request, entry) -> {
          if (!request.begun) {
            lost.computeIfAbsent(entry, key -> new ArrayList<>()).add(request);
          }
        });
    server.running.clear();
    lost.forEach(
        (entry, requests) ->
            schedule(
                random.nextLong(50),
                () -> {
                  entry.onLost(incarnation, requests.stream().map(r -> r.traits).toList());
                  schedule(UPDATE_DELAY_MS, () -> resend(entry, incarnation, requests));
                }));
    schedule(
        SERVER_RESTART_MS,
        () -> {
          server.starts++;
          server.up = true;
        });
  }

  private void resend(Entry entry, String incarnation, List<Request> requests) {
    for (Request request : requests) {
      if (request.attempts == 1) {
        finish(request, false);
      }
      if (request.attempts < 3 && entry.view.mayResend(request.traits, incarnation)) {
        forward(request, entry);
      }
    }
  }

  private void finish(Request request, boolean begun) {
    if (!request.deadly) {
      outcomes.add(new Outcome(request.sentAtMs, request.traits.values().get(0), begun));
    }
  }

  /** Returns the number of deadly requests that the rule of the platform counts. */
  long countLateDeadlySends() {
    if (deadlyCrashesMs.size() < 5) {
      return 0;
    }
    long limitMs = deadlyCrashesMs.get(4) + STABLE_MS;
    return deadlySendsMs.stream().filter(sentAtMs -> sentAtMs > limitMs).count();
  }

  /** Returns the time of the fifth crash, or empty if there was none. */
  Optional<Long> fifthCrashMs() {
    return deadlyCrashesMs.size() < 5 ? Optional.empty() : Optional.of(deadlyCrashesMs.get(4));
  }

  int countDeadlyCrashes() {
    return deadlyCrashesMs.size();
  }

  /**
   * Returns the share of sound requests whose response began at the first attempt.
   *
   * @param fromMs time of the earliest request
   * @param firstPart first prompt part of the requests; empty for all
   */
  double servedShare(long fromMs, Optional<String> firstPart) {
    List<Outcome> counted =
        outcomes.stream()
            .filter(o -> o.sentAtMs() >= fromMs)
            .filter(o -> firstPart.filter(part -> !part.equals(o.firstPart())).isEmpty())
            .toList();
    return counted.isEmpty()
        ? 1
        : (double) counted.stream().filter(Outcome::begun).count() / counted.size();
  }

  Set<String> blockedTraits() {
    return blockedTraits;
  }

  Set<String> clearedTraits() {
    return clearedTraits;
  }

  long sentMessages() {
    return sentMessages;
  }

  /** Returns whether any entry refuses a request with the trait at the current time. */
  boolean isBlockedAnywhere(String trait) {
    RequestTraits request = new RequestTraits(List.of(trait, "digest"));
    return entries.stream().anyMatch(entry -> entry.view.blockOf(request, nowMs).isPresent());
  }
}
