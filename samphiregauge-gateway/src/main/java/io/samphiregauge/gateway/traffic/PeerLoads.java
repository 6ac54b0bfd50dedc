package io.samphiregauge.gateway.traffic;

import io.samphiregauge.core.dispatch.ServerLoad;
import io.samphiregauge.gateway.Member;
import io.samphiregauge.gateway.Moment;
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

  /** Loads of an entry that falls silent are forgotten. */
  private static final long MAX_AGE_MS = 1_500;

  private final Traffic traffic;
  private final Member self;
  private final PeerTransport transport;
  private final Map<String, Received> received = new HashMap<>();

  private record Received(BackendLoads loads, long atMs) {}

  PeerLoads(Traffic traffic, Member self, PeerTransport transport) {
    this.traffic = traffic;
    this.self = self;
    this.transport = transport;
  }

  void start() {
    send();
  }

  void take(BackendLoads loads) {
    received.put(loads.getVm(), new Received(loads, Moment.nowMs()));
    apply();
    for (CachedPrompt prompt : loads.getCached()) {
      traffic
          .servers()
          .byKey(prompt.getBackend())
          .ifPresent(load -> load.prefixes().add(CacheNews.parts(prompt)));
    }
  }

  private void send() {
    List<Member> members = traffic.view().members();
    traffic.after(periodMs(members.size()), this::send);
    BackendLoads own = new BackendLoads(self.vm(), own(), traffic.cacheNews().take());
    for (Member member : members) {
      if (!member.vm().equals(self.vm())) {
        transport.send(member.peerAddress(), own);
      }
    }
  }

  /** Returns the time between two messages of an entry, in milliseconds. */
  static long periodMs(int members) {
    return Math.max(MIN_PERIOD_MS, members * PERIOD_MS_PER_MEMBER);
  }

  private List<BackendLoad> own() {
    List<BackendLoad> loads = new ArrayList<>();
    for (ServerLoad load : traffic.servers().all()) {
      if (load.inFlight() > 0) {
        loads.add(
            new BackendLoad(ServerTable.key(load.server()), load.promptTokens(), load.inFlight()));
      }
    }
    return loads;
  }

  private void apply() {
    long oldest = Moment.nowMs() - MAX_AGE_MS;
    received.values().removeIf(last -> last.atMs() < oldest);
    Map<Integer, int[]> requests = new HashMap<>();
    Map<Integer, long[]> tokens = new HashMap<>();
    for (Received last : received.values()) {
      for (BackendLoad load : last.loads().getLoads()) {
        requests.computeIfAbsent(load.getBackend(), key -> new int[1])[0] += load.getRunning();
        tokens.computeIfAbsent(load.getBackend(), key -> new long[1])[0] += load.getPromptTokens();
      }
    }
    for (ServerLoad load : traffic.servers().all()) {
      int key = ServerTable.key(load.server());
      load.others(
          requests.getOrDefault(key, new int[1])[0], tokens.getOrDefault(key, new long[1])[0]);
    }
  }
}
