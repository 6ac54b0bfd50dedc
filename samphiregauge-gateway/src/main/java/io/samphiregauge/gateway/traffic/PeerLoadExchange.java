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
 * Sends the other entries the load that this entry puts on each backend server and the prompts that
 * servers have cached for it, and applies what they send. Messages may be lost: the next one
 * replaces the loads, and a prompt whose report was lost is prefilled once more. Confined to one
 * event loop.
 */
final class PeerLoadExchange {
  /** Minimum time between two messages; similar to the time in which a prompt is prefilled. */
  private static final long MIN_SEND_PERIOD_MS = 150;

  /** Large groups send less often, to bound the work for sending and receiving. */
  private static final long SEND_PERIOD_MS_PER_MEMBER = 15;

  /** Minimum time for which the loads of an entry are used after its last message. */
  private static final long MIN_RETENTION_MS = 1_500;

  /** Number of send periods for which received loads are used, so that one message may be lost. */
  private static final int RETENTION_PERIODS = 2;

  /** Maximum number of times that received loads are applied per send period. */
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

  /** Sends the first message and schedules the next ones. */
  void start() {
    sendPeriodically();
  }

  /** Replaces the loads of the sender, and records the prompts that servers have cached for it. */
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

  /** Returns the time for which received loads are used, in milliseconds. */
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

  /**
   * Schedules {@link #applyReceivedLoads} unless it is already scheduled, so that one run covers
   * several messages. In a large group, a message from one of the members arrives about every
   * {@value #SEND_PERIOD_MS_PER_MEMBER} ms.
   */
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

  /** Discards expired loads, and sets the sum of the remaining ones on each server. */
  private void applyReceivedLoads() {
    long oldestRetainedMs =
        DualTimestamp.monotonicNowMs() - retentionMs(context.view().members().size());
    latestByVm.values().removeIf(latest -> latest.receivedAtMs() < oldestRetainedMs);
    Map<Integer, Integer> runningByServer = new HashMap<>();
    Map<Integer, Long> promptTokensByServer = new HashMap<>();
    for (ReceivedLoads latest : latestByVm.values()) {
      for (BackendLoad load : latest.loads().getLoads()) {
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
