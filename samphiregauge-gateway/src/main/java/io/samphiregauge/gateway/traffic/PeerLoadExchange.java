package io.samphiregauge.gateway.traffic;

import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.dispatch.ServerLoad;
import io.samphiregauge.core.exchange.LoadExchange;
import io.samphiregauge.gateway.GroupMember;
import io.samphiregauge.net.PeerTransport;
import io.samphiregauge.schema.peer.BackendLoad;
import io.samphiregauge.schema.peer.BackendLoads;
import io.samphiregauge.schema.peer.CachedPrompt;
import io.samphiregauge.schema.peer.ServerSpeed;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Sends and receives the messages of the {@link LoadExchange} between entries, and applies the
 * loads and cached prompts to the server table. Confined to one event loop.
 */
final class PeerLoadExchange {
  /** Maximum number of times per send period that received loads are applied. */
  private static final long APPLIES_PER_SEND_PERIOD = 6;

  private final EventLoopContext context;
  private final PeerTransport transport;
  private final LoadExchange exchange;
  private boolean applyScheduled;

  PeerLoadExchange(EventLoopContext context, GroupMember self, PeerTransport transport) {
    this.context = context;
    this.transport = transport;
    this.exchange = new LoadExchange(self.vm(), self.domain());
    context
        .domainTraffic()
        .setLoadAge(domain -> exchange.ageMs(domain, DualTimestamp.monotonicNowMs()));
  }

  /** Sends the first message and schedules the next ones. */
  void start() {
    sendPeriodically();
  }

  /** Records the loads in a message, and the prompts that servers have cached. */
  void onLoadsReceived(BackendLoads loads) {
    exchange.receive(loads, DualTimestamp.monotonicNowMs());
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
    context.schedule(LoadExchange.sendPeriodMs(members.size()), this::sendPeriodically);
    exchange.setOwnDemands(context.room().ownDemands());
    List<ServerSpeed> ownSpeeds = ownSpeeds();
    exchange.setOwnSpeeds(context.sharesSpeeds() ? ownSpeeds : List.of());
    exchange
        .messages(
            members.stream().map(PeerLoadExchange::toPeer).distinct().toList(),
            ownLoads(),
            context.cachedPrompts().drain(),
            DualTimestamp.monotonicNowMs())
        .forEach(outgoing -> transport.send(outgoing.addresses(), outgoing.message()));
    // Without messages from others, their loads expire here.
    applyReceivedLoads();
    applySpeeds();
  }

  private List<ServerSpeed> ownSpeeds() {
    return context.serverLoads().all().stream()
        .flatMap(load -> load.endSpeedPeriod().stream())
        .toList();
  }

  private void applySpeeds() {
    Map<Integer, ServerSpeed> speeds = new HashMap<>();
    exchange
        .fleetSpeeds(DualTimestamp.monotonicNowMs())
        .forEach(speed -> speeds.put(speed.getBackend(), speed));
    for (ServerLoad load : context.serverLoads().all()) {
      Optional<ServerSpeed> speed = Optional.ofNullable(speeds.get(load.key()));
      load.setFleetSpeed(
          speed.map(ServerSpeed::getResponses).orElse(0),
          speed.map(ServerSpeed::getSlownessSum).orElse(0.0));
    }
  }

  private static LoadExchange.Peer toPeer(GroupMember member) {
    return new LoadExchange.Peer(member.vm(), member.domain(), member.peerAddress());
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

  /** Schedules {@link #applyReceivedLoads} unless it is already scheduled. */
  private void scheduleApply() {
    if (!applyScheduled) {
      applyScheduled = true;
      context.schedule(
          LoadExchange.sendPeriodMs(context.view().members().size()) / APPLIES_PER_SEND_PERIOD,
          () -> {
            applyScheduled = false;
            applyReceivedLoads();
          });
    }
  }

  private void applyReceivedLoads() {
    Map<Integer, BackendLoad> loadsByServer = new HashMap<>();
    exchange
        .otherEntriesLoads(DualTimestamp.monotonicNowMs())
        .forEach(load -> loadsByServer.put(load.getBackend(), load));
    for (ServerLoad load : context.serverLoads().all()) {
      Optional<BackendLoad> others = Optional.ofNullable(loadsByServer.get(load.key()));
      load.setOtherEntriesLoad(
          others.map(BackendLoad::getRunning).orElse(0),
          others.map(BackendLoad::getPromptTokens).orElse(0L));
    }
    context.room().onExchange(exchange);
    context.waitingRoom().onRoomChanged();
  }
}
