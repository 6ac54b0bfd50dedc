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
final class PeerLoadExchange {
  /** Least time between two messages; prompts take about as long to prefill. */
  private static final long MIN_SEND_PERIOD_MS = 150;

  /** With many members messages are sent less often, to bound the work for them. */
  private static final long SEND_PERIOD_MS_PER_MEMBER = 15;

  /** Least time after which the loads of an entry that falls silent are forgotten. */
  private static final long MIN_RETENTION_MS = 1_500;

  /** One message may be lost before the loads of its sender are forgotten. */
  private static final int RETENTION_PERIODS = 2;

  /** Sums of the received loads in the time of one message to each member. */
  private static final long APPLIES_PER_SEND_PERIOD = 6;

  private final EventLoopContext context;
  private final GroupMember self;
  private final PeerTransport transport;
  private final Map<String, ReceivedLoads> latestByVm = new HashMap<>();
  private boolean applyScheduled;

  private record ReceivedLoads(BackendLoads loads, long receivedAtMs) {}

  PeerLoadExchange(EventLoopContext context, GroupMember self, PeerTransport transport) {
    this.context = context;
    this.self = self;
    this.transport = transport;
  }

  void start() {
    sendPeriodically();
  }

  void onLoadsReceived(BackendLoads loads) {
    latestByVm.put(loads.getVm(), new ReceivedLoads(loads, DualTimestamp.monotonicNowMs()));
    scheduleApply();
    for (CachedPrompt prompt : loads.getCached()) {
      context
          .serverLoads()
          .findByKey(prompt.getBackend())
          .ifPresent(
              load -> load.prefixCache().recordPrefilled(CachedPromptBuffer.toPromptParts(prompt)));
    }
  }

  private void sendPeriodically() {
    List<GroupMember> members = context.view().members();
    context.schedule(sendPeriodMs(members.size()), this::sendPeriodically);
    BackendLoads message = new BackendLoads(self.vm(), ownLoads(), context.cachedPrompts().drain());
    transport.send(
        members.stream()
            .filter(member -> !member.vm().equals(self.vm()))
            .map(GroupMember::peerAddress)
            .toList(),
        message);
  }

  /** Returns the time between two messages of an entry, in milliseconds. */
  static long sendPeriodMs(int memberCount) {
    return Math.max(MIN_SEND_PERIOD_MS, memberCount * SEND_PERIOD_MS_PER_MEMBER);
  }

  /** Returns the time for which the loads in a message count, in milliseconds. */
  static long retentionMs(int memberCount) {
    return Math.max(MIN_RETENTION_MS, RETENTION_PERIODS * sendPeriodMs(memberCount));
  }

  private List<BackendLoad> ownLoads() {
    List<BackendLoad> loads = new ArrayList<>();
    for (ServerLoad load : context.serverLoads().all()) {
      if (load.inFlight() > 0) {
        loads.add(new BackendLoad(load.key(), load.promptTokens(), load.inFlight()));
      }
    }
    return loads;
  }

  /** Sums up several messages at once; with many members one arrives each few milliseconds. */
  private void scheduleApply() {
    if (!applyScheduled) {
      applyScheduled = true;
      context.schedule(
          sendPeriodMs(context.view().members().size()) / APPLIES_PER_SEND_PERIOD,
          () -> {
            applyScheduled = false;
            applyReceivedLoads();
          });
    }
  }

  private void applyReceivedLoads() {
    long oldestRetainedMs =
        DualTimestamp.monotonicNowMs() - retentionMs(context.view().members().size());
    latestByVm.values().removeIf(last -> last.receivedAtMs() < oldestRetainedMs);
    Map<Integer, Integer> runningByServer = new HashMap<>();
    Map<Integer, Long> promptTokensByServer = new HashMap<>();
    for (ReceivedLoads last : latestByVm.values()) {
      for (BackendLoad load : last.loads().getLoads()) {
        runningByServer.merge(load.getBackend(), load.getRunning(), Integer::sum);
        promptTokensByServer.merge(load.getBackend(), load.getPromptTokens(), Long::sum);
      }
    }
    for (ServerLoad load : context.serverLoads().all()) {
      load.setOtherEntriesLoad(
          runningByServer.getOrDefault(load.key(), 0),
          promptTokensByServer.getOrDefault(load.key(), 0L));
    }
  }
}
