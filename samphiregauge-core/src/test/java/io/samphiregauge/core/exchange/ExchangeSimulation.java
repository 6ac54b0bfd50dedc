package io.samphiregauge.core.exchange;

import io.samphiregauge.schema.peer.BackendLoad;
import io.samphiregauge.schema.peer.BackendLoads;
import io.samphiregauge.schema.peer.CachedPrompt;
import io.samphiregauge.schema.peer.ServiceDemand;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/** Entries that exchange loads in virtual time; each one has one running request at server 1. */
final class ExchangeSimulation {
  private static final long DELAY_MS = 4;
  private static final int SERVICE = 7;

  private final List<LoadExchange> exchanges = new ArrayList<>();
  private final List<LoadExchange.Peer> members = new ArrayList<>();
  private final List<List<BackendLoad>> ownLoads = new ArrayList<>();
  private final List<List<CachedPrompt>> ownPrompts = new ArrayList<>();
  private final List<List<CachedPrompt>> receivedPrompts = new ArrayList<>();
  private final List<Boolean> silent = new ArrayList<>();
  private final Map<String, Integer> indexByAddress = new HashMap<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::number));
  private final SplittableRandom random;
  private final double loss;
  private long nowMs;
  private long eventCount;
  private long sentMessages;

  private record Event(long atMs, long number, Runnable action) {}

  ExchangeSimulation(int entries, int domains, double loss, long seed) {
    this.loss = loss;
    this.random = new SplittableRandom(seed);
    for (int i = 0; i < entries; i++) {
      String domain = "d" + i * domains / entries;
      String vm = domain + "-%03d".formatted(i);
      members.add(new LoadExchange.Peer(vm, domain, "address-" + i));
      indexByAddress.put("address-" + i, i);
      exchanges.add(new LoadExchange(vm, domain));
      ownLoads.add(List.of(new BackendLoad(1, 100, 1)));
      ownPrompts.add(new ArrayList<>());
      receivedPrompts.add(new ArrayList<>());
      silent.add(false);
      int entry = i;
      schedule(random.nextLong(LoadExchange.sendPeriodMs(entries)), () -> send(entry));
    }
  }

  private void schedule(long delayMs, Runnable action) {
    events.add(new Event(nowMs + delayMs, eventCount++, action));
  }

  private void send(int entry) {
    schedule(LoadExchange.sendPeriodMs(members.size()), () -> send(entry));
    if (silent.get(entry)) {
      return;
    }
    List<CachedPrompt> prompts = List.copyOf(ownPrompts.get(entry));
    ownPrompts.get(entry).clear();
    for (LoadExchange.Outgoing outgoing :
        exchanges.get(entry).messages(members, ownLoads.get(entry), prompts, nowMs)) {
      for (String address : outgoing.addresses()) {
        sentMessages++;
        if (random.nextDouble() >= loss) {
          schedule(DELAY_MS, () -> receive(indexByAddress.get(address), outgoing.message()));
        }
      }
    }
  }

  private void receive(int entry, BackendLoads message) {
    if (!silent.get(entry)) {
      exchanges.get(entry).receive(message, nowMs);
      receivedPrompts.get(entry).addAll(message.getCached());
    }
  }

  void run(long durationMs) {
    long endMs = nowMs + durationMs;
    while (!events.isEmpty() && events.peek().atMs() <= endMs) {
      Event event = events.remove();
      nowMs = event.atMs();
      event.action().run();
    }
    nowMs = endMs;
  }

  void setOwnLoads(int entry, List<BackendLoad> loads) {
    ownLoads.set(entry, loads);
  }

  void addPrompt(int entry, CachedPrompt prompt) {
    ownPrompts.get(entry).add(prompt);
  }

  void setOwnDemand(int entry, int requests) {
    exchanges.get(entry).setOwnDemands(List.of(new ServiceDemand(SERVICE, requests)));
  }

  /** Returns the demand of all other entries for the service, as far as an entry knows. */
  int knownDemand(int entry) {
    return exchanges.get(entry).otherEntriesDemands(nowMs).stream()
        .mapToInt(ServiceDemand::getRequests)
        .sum();
  }

  /** Stops an entry from sending and receiving, or lets it go on. */
  void setSilent(int entry, boolean value) {
    silent.set(entry, value);
  }

  /** Returns the running requests of all other entries, as far as an entry knows. */
  long knownRunning(int entry) {
    return exchanges.get(entry).otherEntriesLoads(nowMs).stream()
        .mapToLong(BackendLoad::getRunning)
        .sum();
  }

  long knownTokens(int entry, int server) {
    return exchanges.get(entry).otherEntriesLoads(nowMs).stream()
        .filter(load -> load.getBackend() == server)
        .mapToLong(BackendLoad::getPromptTokens)
        .sum();
  }

  List<CachedPrompt> receivedPrompts(int entry) {
    return receivedPrompts.get(entry);
  }

  long sentMessages() {
    return sentMessages;
  }
}
