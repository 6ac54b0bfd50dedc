package io.samphiregauge.gateway.traffic;

import io.samphiregauge.core.dispatch.ServerLoad;
import io.samphiregauge.gateway.DualTimestamp;
import io.samphiregauge.gateway.GroupMember;
import io.samphiregauge.net.PeerTransport;
import io.samphiregauge.schema.peer.BackendLoad;
import io.samphiregauge.schema.peer.BackendLoads;
import io.samphiregauge.schema.peer.CachedPrompt;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Exchanges with other entries what each has under way at the backend servers, and what these
 * cache. A lost message does little harm: the next one replaces the loads, and a prompt that nobody
 * heard of is read once more. Used by one event loop.
 */
final class PeerLoads {
  /** Least time between two messages; prompts take about as long to prefill. */
  private static final long MIN_PERIOD_MS = 150;

  /** With many members messages are sent less often, to bound the work for them. */
  private static final long PERIOD_MS_PER_MEMBER = 15;

  /** Least time after which the loads of an entry that falls silent are forgotten. */
  private static final long MIN_KEPT_MS = 1_500;

  /** One message may be lost before the loads of its sender are forgotten. */
  private static final int KEPT_PERIODS = 2;

  /** Sums of the received loads in the time of one message to each member. */
  private static final long APPLIED_PER_PERIOD = 6;

  private final Traffic traffic;
  private final GroupMember self;
  private final PeerTransport transport;
  private final Map<String, Received> received = new HashMap<>();
  private boolean applying;

  private record Received(BackendLoads loads, long atMs) {}

  PeerLoads(Traffic traffic, GroupMember self, PeerTransport transport) {
    this.traffic = traffic;
    this.self = self;
    this.transport = transport;
  }

  void start() {
    send();
  }

  void take(BackendLoads loads) {
    received.put(loads.getVm(), new Received(loads, DualTimestamp.monotonicNowMs()));
    applySoon();
    for (CachedPrompt prompt : loads.getCached()) {
      traffic
          .servers()
          .byKey(prompt.getBackend())
          .ifPresent(load -> load.prefixCache().recordPrefilled(CacheNews.parts(prompt)));
    }
  }

  private void send() {
    List<GroupMember> members = traffic.view().members();
    traffic.after(periodMs(members.size()), this::send);
    BackendLoads own = new BackendLoads(self.vm(), own(), traffic.cacheNews().take());
    transport.send(
        members.stream()
            .filter(member -> !member.vm().equals(self.vm()))
            .map(GroupMember::peerAddress)
            .toList(),
        own);
  }

  /** Returns the time between two messages of an entry, in milliseconds. */
  static long periodMs(int members) {
    return Math.max(MIN_PERIOD_MS, members * PERIOD_MS_PER_MEMBER);
  }

  /** Returns the time for which the loads in a message count, in milliseconds. */
  static long keptMs(int members) {
    return Math.max(MIN_KEPT_MS, KEPT_PERIODS * periodMs(members));
  }

  private List<BackendLoad> own() {
    List<BackendLoad> loads = new ArrayList<>();
    for (ServerLoad load : traffic.servers().all()) {
      if (load.inFlight() > 0) {
        loads.add(new BackendLoad(load.key(), load.promptTokens(), load.inFlight()));
      }
    }
    return loads;
  }

  /** Sums up several messages at once; with many members one arrives each few milliseconds. */
  private void applySoon() {
    if (!applying) {
      applying = true;
      traffic.after(
          periodMs(traffic.view().members().size()) / APPLIED_PER_PERIOD,
          () -> {
            applying = false;
            apply();
          });
    }
  }

  private void apply() {
    long oldest = DualTimestamp.monotonicNowMs() - keptMs(traffic.view().members().size());
    received.values().removeIf(last -> last.atMs() < oldest);
    Map<Integer, Integer> requests = new HashMap<>();
    Map<Integer, Long> tokens = new HashMap<>();
    for (Received last : received.values()) {
      for (BackendLoad load : last.loads().getLoads()) {
        requests.merge(load.getBackend(), load.getRunning(), Integer::sum);
        tokens.merge(load.getBackend(), load.getPromptTokens(), Long::sum);
      }
    }
    for (ServerLoad load : traffic.servers().all()) {
      load.setOtherEntriesLoad(
          requests.getOrDefault(load.key(), 0), tokens.getOrDefault(load.key(), 0L));
    }
  }
}
