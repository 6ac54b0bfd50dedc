package io.samphiregauge.daemon;

import io.netty.channel.EventLoopGroup;
import io.samphiregauge.core.Clock;
import io.samphiregauge.core.control.CoordinatorAction;
import io.samphiregauge.core.control.CoordinatorConfig;
import io.samphiregauge.core.control.CoordinatorEvent;
import io.samphiregauge.daemon.traffic.TrafficView;
import io.samphiregauge.daemon.traffic.UsageListener;
import io.samphiregauge.net.Address;
import io.samphiregauge.net.CloseMode;
import io.samphiregauge.net.OneShotHttpClient;
import io.samphiregauge.net.PeerTransport;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import org.agrona.CloseHelper;

/** Runs the coordinator of an entry and executes the actions that it returns. */
final class ControlSide implements AutoCloseable {
  private static final Logger LOG = System.getLogger(ControlSide.class.getName());

  private final ControlLoop loop;
  private final LogClient logClient;
  private final OrderClient orderClient;
  private final UsageBatcher usageBatcher;
  private final Optional<PlatformPoller> platformPoller;
  private final PeerTransport peers;
  private final CompletableFuture<Void> ended = new CompletableFuture<>();

  ControlSide(
      EventLoopGroup loops,
      Clock clock,
      CoordinatorConfig config,
      Address logAddress,
      Optional<Address> platformAddress,
      PeerTransport peers) {
    OneShotHttpClient httpClient = new OneShotHttpClient(loops);
    this.peers = peers;
    this.loop =
        new ControlLoop(clock, () -> ThreadLocalRandom.current().nextLong(), config, this::execute);
    this.logClient = new LogClient(loops, logAddress, loop);
    this.orderClient =
        new OrderClient(new OneShotHttpClient(loops, CloseMode.RESET), platformAddress, loop);
    this.usageBatcher = new UsageBatcher(loops, loop);
    this.platformPoller =
        platformAddress.map(address -> new PlatformPoller(loops, httpClient, address, loop));
  }

  void start() {
    loop.start();
    logClient.poll();
    usageBatcher.flush();
    platformPoller.ifPresent(PlatformPoller::poll);
  }

  void post(CoordinatorEvent event) {
    loop.post(event);
  }

  UsageListener usage() {
    return usageBatcher;
  }

  /** Returns the current view for the traffic threads; may be called from any thread. */
  TrafficView view() {
    ControlSnapshot snapshot = loop.snapshot();
    boolean mayServe = snapshot.mayServe(loop.now());
    Set<String> leavingBackends = new HashSet<>(snapshot.excludedBackends());
    platformPoller.ifPresent(poller -> leavingBackends.addAll(poller.leavingBackends()));
    return new TrafficView(
        snapshot.state(), mayServe, mayServe, leavingBackends, snapshot.leavingVms());
  }

  /** Returns a future that completes once the log records the end of this incarnation. */
  CompletableFuture<Void> ended() {
    return ended;
  }

  @Override
  public void close() {
    platformPoller.ifPresent(CloseHelper::close);
    CloseHelper.closeAll(logClient, usageBatcher, loop, peers);
  }

  private void execute(CoordinatorAction action) {
    if (action instanceof CoordinatorAction.Append append) {
      logClient.append(append.batch());
    }
    if (action instanceof CoordinatorAction.SendPeerMessage send) {
      peers.send(send.peerAddress(), send.message());
    }
    if (action instanceof CoordinatorAction.SendOrder send) {
      orderClient.sendOrder(send.order());
    }
    if (action instanceof CoordinatorAction.SendReport send) {
      orderClient.sendReport(send.report());
    }
    if (action instanceof CoordinatorAction.IncarnationEnded) {
      LOG.log(Level.INFO, "event=ended");
      ended.complete(null);
    }
    logAction(action);
  }

  private static void logAction(CoordinatorAction action) {
    if (action instanceof CoordinatorAction.DecisionMade decision) {
      LOG.log(
          Level.INFO,
          "event=placement subject={0} decision={1} reason=\"{2}\"",
          decision.subject(),
          decision.decision(),
          decision.reason());
    }
    if (action instanceof CoordinatorAction.RecordRejected rejected) {
      LOG.log(
          Level.INFO,
          "event=record_ignored offset={0} reason=\"{1}\"",
          String.valueOf(rejected.offset()),
          rejected.reason().message());
    }
    if (action instanceof CoordinatorAction.MemberChanged changed) {
      LOG.log(
          Level.INFO,
          "event=member_changed vm={0} state={1}",
          changed.member().getIncarnation().getVm(),
          changed.member().getState().value());
    }
  }
}
