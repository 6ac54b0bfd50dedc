package io.samphiregauge.core.exchange;

import io.samphiregauge.schema.peer.BackendLoad;
import io.samphiregauge.schema.peer.BackendLoads;
import io.samphiregauge.schema.peer.CachedPrompt;
import io.samphiregauge.schema.peer.LoadScope;
import io.samphiregauge.schema.peer.ServerSpeed;
import io.samphiregauge.schema.peer.ServiceDemand;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Decides which messages about loads and cached prompts an entry sends to which other entries, and
 * sums up what it receives. Performs no I/O. Not thread-safe.
 *
 * <p>In a small group each entry sends its loads to all others. In a larger one the entries of each
 * failure domain send them to the domain's two heads, which are the first two by name. The first
 * head, or the second one while the first is silent, sends the sum of its domain to the heads of
 * the other domains, and the sum of all domains to the entries of its own. The number of messages
 * then grows with the number of entries instead of its square.
 *
 * <p>Messages may be lost. The next one replaces the loads; a prompt whose report was lost is
 * prefilled once more.
 */
public final class LoadExchange {
  /** Up to this number of entries, each one sends its loads to all others. */
  static final int MAX_MESH_ENTRIES = 20;

  /** Heads of a failure domain; the second one replaces the first while that is silent. */
  private static final int HEADS = 2;

  /** Minimum time between two messages; similar to the time in which a prompt is prefilled. */
  private static final long MIN_PERIOD_MS = 150;

  /** In the mesh, larger groups send less often, to bound the work of each entry. */
  private static final long MESH_PERIOD_MS_PER_ENTRY = 15;

  private static final long TREE_PERIOD_MS = 250;

  /** Hops from an entry to an entry of another failure domain. */
  private static final int TREE_HOPS = 3;

  /** Silence after which the second head replaces the first: three periods. */
  private static final long HEAD_SILENCE_MS = 750;

  /** Time for which received loads are used; several messages may be lost. */
  private static final long RETENTION_MS = 1_500;

  /** Maximum prompts that a head passes on with one message. */
  private static final int MAX_RELAYED_PROMPTS = 256;

  private final String vm;
  private final String domain;
  private final Map<String, Received> entryLoads = new HashMap<>();
  private final Map<String, Received> domainLoads = new HashMap<>();
  private Optional<Received> fleetLoads = Optional.empty();
  private List<BackendLoad> lastOwnLoads = List.of();
  private List<ServiceDemand> ownDemands = List.of();
  private List<ServerSpeed> ownSpeeds = List.of();
  private final List<CachedPrompt> promptsForDomains = new ArrayList<>();
  private final List<CachedPrompt> promptsForEntries = new ArrayList<>();
  private long firstHeadHeardMs = Long.MIN_VALUE;
  private Set<String> otherDomains = Set.of();
  private boolean tree;
  private boolean head;

  private record Received(BackendLoads message, long receivedAtMs) {}

  /**
   * An entry that takes part.
   *
   * @param vm VM that it runs on
   * @param domain failure domain of the VM
   * @param address peer address
   */
  public record Peer(String vm, String domain, String address) {}

  /**
   * A message and the peer addresses of its receivers.
   *
   * @param addresses the peer addresses
   * @param message the message
   */
  public record Outgoing(List<String> addresses, BackendLoads message) {}

  /**
   * Creates the exchange of an entry that has received nothing.
   *
   * @param vm VM of the entry
   * @param domain failure domain of the VM
   */
  public LoadExchange(String vm, String domain) {
    this.vm = vm;
    this.domain = domain;
  }

  /**
   * Returns the time between two messages of an entry.
   *
   * @param entries number of entries in the group
   * @return the time in milliseconds
   */
  public static long sendPeriodMs(int entries) {
    return entries <= MAX_MESH_ENTRIES
        ? Math.max(MIN_PERIOD_MS, entries * MESH_PERIOD_MS_PER_ENTRY)
        : TREE_PERIOD_MS;
  }

  /**
   * Returns the age that known loads of other entries can reach while no message is lost.
   *
   * @param entries number of entries in the group
   * @return the age in milliseconds, without the time that messages travel
   */
  public static long maxAgeMs(int entries) {
    return sendPeriodMs(entries) * (entries <= MAX_MESH_ENTRIES ? 1 : TREE_HOPS);
  }

  /**
   * Sets the demand at this entry, which later messages contain.
   *
   * @param demands demand for each service that has some; empty to send none
   */
  public void setOwnDemands(List<ServiceDemand> demands) {
    ownDemands = List.copyOf(demands);
  }

  /**
   * Sets how fast backend servers answered this entry, which later messages contain.
   *
   * @param speeds speed of each server that answered within the last second; empty to send none
   */
  public void setOwnSpeeds(List<ServerSpeed> speeds) {
    ownSpeeds = List.copyOf(speeds);
  }

  /**
   * Returns the messages that are due after a period.
   *
   * @param members the entries of the group, ordered alike on all entries
   * @param ownLoads load of this entry on each server that has some
   * @param ownPrompts prompts that were cached for this entry since the last call
   * @param nowMs monotonic time in milliseconds
   * @return the messages; none without other entries
   */
  public List<Outgoing> messages(
      List<Peer> members, List<BackendLoad> ownLoads, List<CachedPrompt> ownPrompts, long nowMs) {
    expire(nowMs);
    lastOwnLoads = ownLoads;
    List<Peer> others = members.stream().filter(peer -> !peer.vm().equals(vm)).toList();
    otherDomains = others.stream().map(Peer::domain).collect(Collectors.toSet());
    tree = others.size() >= MAX_MESH_ENTRIES;
    BackendLoads own = message(LoadScope.ENTRY, ownLoads, ownPrompts, ownDemands, ownSpeeds);
    if (!tree) {
      head = false;
      return outgoing(others.stream(), own).toList();
    }
    List<Peer> ownDomain = members.stream().filter(peer -> peer.domain().equals(domain)).toList();
    List<Peer> ownHeads = heads(ownDomain);
    head = ownHeads.stream().anyMatch(peer -> peer.vm().equals(vm));
    Stream<Outgoing> toHeads =
        outgoing(ownHeads.stream().filter(peer -> !peer.vm().equals(vm)), own);
    if (!head) {
      return toHeads.toList();
    }
    relay(ownPrompts, promptsForDomains);
    relay(ownPrompts, promptsForEntries);
    boolean active = isActive(ownHeads, nowMs);
    List<Outgoing> sums = active ? headMessages(others, ownDomain, ownLoads) : List.<Outgoing>of();
    promptsForDomains.clear();
    promptsForEntries.clear();
    return Stream.concat(toHeads, sums.stream()).toList();
  }

  private boolean isActive(List<Peer> ownHeads, long nowMs) {
    return ownHeads.get(0).vm().equals(vm)
        || firstHeadHeardMs == Long.MIN_VALUE
        || nowMs - firstHeadHeardMs > HEAD_SILENCE_MS;
  }

  private List<Outgoing> headMessages(
      List<Peer> others, List<Peer> ownDomain, List<BackendLoad> ownLoads) {
    Map<String, List<Peer>> otherDomains = new HashMap<>();
    for (Peer peer : others) {
      if (!peer.domain().equals(domain)) {
        otherDomains.computeIfAbsent(peer.domain(), name -> new ArrayList<>()).add(peer);
      }
    }
    List<BackendLoad> domainSum = sum(Stream.concat(received(entryLoads), Stream.of(ownLoads)));
    List<BackendLoad> fleetSum = sum(Stream.concat(received(domainLoads), Stream.of(domainSum)));
    List<ServiceDemand> domainDemand =
        ServiceDemands.sum(Stream.concat(demands(entryLoads), Stream.of(ownDemands)));
    List<ServiceDemand> fleetDemand =
        ServiceDemands.sum(Stream.concat(demands(domainLoads), Stream.of(domainDemand)));
    List<ServerSpeed> domainSpeeds =
        ServerSpeeds.sum(Stream.concat(speeds(entryLoads), Stream.of(ownSpeeds)));
    List<ServerSpeed> fleetSpeeds =
        ServerSpeeds.sum(Stream.concat(speeds(domainLoads), Stream.of(domainSpeeds)));
    Stream<Peer> otherHeads = otherDomains.values().stream().flatMap(list -> heads(list).stream());
    Stream<Peer> entries = ownDomain.stream().filter(peer -> !peer.vm().equals(vm));
    return Stream.concat(
            outgoing(
                otherHeads,
                message(
                    LoadScope.DOMAIN, domainSum, promptsForDomains, domainDemand, domainSpeeds)),
            outgoing(
                entries,
                message(LoadScope.FLEET, fleetSum, promptsForEntries, fleetDemand, fleetSpeeds)))
        .toList();
  }

  private BackendLoads message(
      LoadScope scope,
      List<BackendLoad> loads,
      List<CachedPrompt> prompts,
      List<ServiceDemand> demands,
      List<ServerSpeed> speeds) {
    List<CachedPrompt> sentPrompts = List.copyOf(prompts);
    return demands.isEmpty() && speeds.isEmpty()
        ? new BackendLoads(vm, domain, scope, loads, sentPrompts)
        : new BackendLoads(vm, domain, scope, loads, sentPrompts, demands, speeds);
  }

  private static Stream<Outgoing> outgoing(Stream<Peer> receivers, BackendLoads message) {
    List<String> addresses = receivers.map(Peer::address).toList();
    return addresses.isEmpty() ? Stream.empty() : Stream.of(new Outgoing(addresses, message));
  }

  private static List<Peer> heads(List<Peer> peers) {
    return peers.subList(0, Math.min(HEADS, peers.size()));
  }

  /**
   * Records a received message.
   *
   * @param message the message
   * @param nowMs monotonic time in milliseconds
   */
  public void receive(BackendLoads message, long nowMs) {
    Received received = new Received(message, nowMs);
    switch (message.getScope()) {
      case ENTRY -> {
        entryLoads.put(message.getVm(), received);
        relay(message.getCached(), promptsForDomains);
        relay(message.getCached(), promptsForEntries);
      }
      case DOMAIN -> {
        domainLoads.put(message.getDomain(), received);
        relay(message.getCached(), promptsForEntries);
      }
      case FLEET -> {
        fleetLoads = Optional.of(received);
        firstHeadHeardMs = nowMs;
      }
    }
  }

  /** Keeps prompts for the next message of a head; an entry that is no head passes nothing on. */
  private void relay(List<CachedPrompt> prompts, List<CachedPrompt> pending) {
    if (head && pending.size() + prompts.size() <= MAX_RELAYED_PROMPTS) {
      pending.addAll(prompts);
    }
  }

  /**
   * Returns the loads that all other entries put on the servers, as far as known.
   *
   * @param nowMs monotonic time in milliseconds
   * @return one load for each server that has some
   */
  public List<BackendLoad> otherEntriesLoads(long nowMs) {
    expire(nowMs);
    if (tree && !head) {
      return fleetLoads.map(received -> subtractOwn(received.message())).orElse(List.of());
    }
    return sum(
        tree ? Stream.concat(received(entryLoads), received(domainLoads)) : received(entryLoads));
  }

  /**
   * Returns the demand of the other entries, as far as known.
   *
   * @param nowMs monotonic time in milliseconds
   * @return one demand for each service that has some
   */
  public List<ServiceDemand> otherEntriesDemands(long nowMs) {
    expire(nowMs);
    if (tree && !head) {
      return fleetLoads
          .flatMap(received -> received.message().getDemands())
          .map(fleet -> ServiceDemands.difference(fleet, ownDemands))
          .orElse(List.of());
    }
    return ServiceDemands.sum(
        tree ? Stream.concat(demands(entryLoads), demands(domainLoads)) : demands(entryLoads));
  }

  /**
   * Returns how fast backend servers answered all entries, this one included, as far as known.
   *
   * @param nowMs monotonic time in milliseconds
   * @return one speed for each server that answered within the last second
   */
  public List<ServerSpeed> fleetSpeeds(long nowMs) {
    expire(nowMs);
    if (tree && !head) {
      return fleetLoads.flatMap(received -> received.message().getSpeeds()).orElse(ownSpeeds);
    }
    Stream<List<ServerSpeed>> others =
        tree ? Stream.concat(speeds(entryLoads), speeds(domainLoads)) : speeds(entryLoads);
    return ServerSpeeds.sum(Stream.concat(others, Stream.of(ownSpeeds)));
  }

  private static Stream<List<ServerSpeed>> speeds(Map<String, Received> messages) {
    return messages.values().stream().flatMap(received -> received.message().getSpeeds().stream());
  }

  /**
   * Returns whether the loads of other entries are known at all.
   *
   * @param nowMs monotonic time in milliseconds
   */
  public boolean hearsOthers(long nowMs) {
    expire(nowMs);
    if (tree && !head) {
      return fleetLoads.isPresent();
    }
    return !entryLoads.isEmpty() || !domainLoads.isEmpty();
  }

  private static Stream<List<ServiceDemand>> demands(Map<String, Received> messages) {
    return messages.values().stream().flatMap(received -> received.message().getDemands().stream());
  }

  /**
   * Returns the age that the known loads of the entries of a failure domain can have.
   *
   * @param name the failure domain
   * @param nowMs monotonic time in milliseconds
   * @return the age in milliseconds; 0 if the domain has no other entries, and {@link
   *     Long#MAX_VALUE} if its loads are unknown
   */
  public long ageMs(String name, long nowMs) {
    if (!otherDomains.contains(name)) {
      return 0;
    }
    if (tree && !head) {
      return fleetLoads
          .map(received -> nowMs - received.receivedAtMs() + (TREE_HOPS - 1) * TREE_PERIOD_MS)
          .orElse(Long.MAX_VALUE);
    }
    return (tree ? domainLoads : entryLoads)
        .values().stream()
            .filter(received -> received.message().getDomain().equals(name))
            .mapToLong(received -> nowMs - received.receivedAtMs() + (tree ? TREE_PERIOD_MS : 0))
            .min()
            .orElse(Long.MAX_VALUE);
  }

  /** Removes the part of this entry, as last sent, from the sum of all entries. */
  private List<BackendLoad> subtractOwn(BackendLoads fleet) {
    Map<Integer, BackendLoad> own = new HashMap<>();
    lastOwnLoads.forEach(load -> own.put(load.getBackend(), load));
    return fleet.getLoads().stream()
        .map(
            load ->
                Optional.ofNullable(own.get(load.getBackend()))
                    .map(part -> difference(load, part))
                    .orElse(load))
        .toList();
  }

  private static BackendLoad difference(BackendLoad sum, BackendLoad part) {
    return new BackendLoad(
        sum.getBackend(),
        Math.max(0, sum.getPromptTokens() - part.getPromptTokens()),
        Math.max(0, sum.getRunning() - part.getRunning()));
  }

  private void expire(long nowMs) {
    long oldestMs = nowMs - RETENTION_MS;
    entryLoads.values().removeIf(received -> received.receivedAtMs() < oldestMs);
    domainLoads.values().removeIf(received -> received.receivedAtMs() < oldestMs);
    fleetLoads = fleetLoads.filter(received -> received.receivedAtMs() >= oldestMs);
  }

  private static Stream<List<BackendLoad>> received(Map<String, Received> messages) {
    return messages.values().stream().map(received -> received.message().getLoads());
  }

  private static List<BackendLoad> sum(Stream<List<BackendLoad>> parts) {
    Map<Integer, BackendLoad> sums = new HashMap<>();
    parts.forEach(
        part -> part.forEach(load -> sums.merge(load.getBackend(), load, LoadExchange::add)));
    return List.copyOf(sums.values());
  }

  private static BackendLoad add(BackendLoad first, BackendLoad second) {
    return new BackendLoad(
        first.getBackend(),
        first.getPromptTokens() + second.getPromptTokens(),
        first.getRunning() + second.getRunning());
  }
}
