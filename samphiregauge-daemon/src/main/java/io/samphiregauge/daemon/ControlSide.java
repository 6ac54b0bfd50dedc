package io.samphiregauge.daemon;

import io.netty.channel.EventLoopGroup;
import io.samphiregauge.core.Clock;
import io.samphiregauge.core.control.CoordinatorAction;
import io.samphiregauge.core.control.CoordinatorConfig;
import io.samphiregauge.core.control.CoordinatorEvent;
import io.samphiregauge.daemon.traffic.TrafficView;
import io.samphiregauge.daemon.traffic.UsageListener;
import io.samphiregauge.net.Address;
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

/** Runs the coordinator of an entry and carries out what it asks for. */
final class ControlSide implements AutoCloseable {
  private static final Logger LOG = System.getLogger(ControlSide.class.getName());

  private final Clock clock;
  private final ControlLoop loop;
  private final LogClient log;
  private final OrderClient orders;
  private final UsageAggregator usage;
  private final Optional<PlatformPoller> platform;
  private final PeerTransport peers;
  private final CompletableFuture<Void> ended = new CompletableFuture<>();

  ControlSide(
      EventLoopGroup loops,
      Clock clock,
      CoordinatorConfig entrant,
      Address logAddress,
      Optional<Address> platformAddress,
      PeerTransport peers) {
    OneShotHttpClient caller = new OneShotHttpClient(loops);
    this.clock = clock;
    this.peers = peers;
    this.loop =
        new ControlLoop(
            clock, () -> ThreadLocalRandom.current().nextLong(), entrant, this::execute);
    this.log = new LogClient(loops, logAddress, clock, loop);
    this.orders = new OrderClient(caller, platformAddress, clock, loop);
    this.usage = new UsageAggregator(loops, loop);
    this.platform = platformAddress.map(to -> new PlatformPoller(loops, caller, to, loop));
  }

  void start() {
    loop.start();
    log.poll();
    usage.flush();
    platform.ifPresent(PlatformPoller::poll);
  }

  void post(CoordinatorEvent event) {
    loop.post(event);
  }

  UsageListener usage() {
    return usage;
  }

  /** Returns what traffic threads see; safe for all threads. */
  TrafficView view() {
    ControlSnapshot snapshot = loop.snapshot();
    boolean mayServe = snapshot.mayServe(clock.nowMs());
    Set<String> leaving = new HashSet<>(snapshot.excludedBackends());
    platform.ifPresent(watch -> leaving.addAll(watch.leavingBackends()));
    return new TrafficView(snapshot.state(), mayServe, mayServe, leaving, snapshot.leavingVms());
  }

  /** Completes once the log says that this process has ended. */
  CompletableFuture<Void> ended() {
    return ended;
  }

  @Override
  public void close() {
    platform.ifPresent(CloseHelper::close);
    CloseHelper.closeAll(log, usage, loop, peers);
  }

  private void execute(CoordinatorAction action) {
    if (action instanceof CoordinatorAction.Append append) {
      log.append(append.call());
    }
    if (action instanceof CoordinatorAction.SendPeerMessage send) {
      peers.send(send.peerAddress(), send.message());
    }
    if (action instanceof CoordinatorAction.SendOrder send) {
      orders.sendOrder(send.order());
    }
    if (action instanceof CoordinatorAction.SendReport send) {
      orders.sendReport(send.report());
    }
    if (action instanceof CoordinatorAction.IncarnationEnded) {
      LOG.log(Level.INFO, "event=ended");
      ended.complete(null);
    }
    logAction(action);
  }

  private static void logAction(CoordinatorAction action) {
    if (action instanceof CoordinatorAction.DecisionMade decided) {
      LOG.log(
          Level.INFO,
          "event=placement subject={0} decision={1} reason=\"{2}\"",
          decided.subject(),
          decided.decision(),
          decided.reason());
    }
    if (action instanceof CoordinatorAction.RecordRejected ignored) {
      LOG.log(
          Level.INFO,
          "event=record_ignored offset={0} reason=\"{1}\"",
          String.valueOf(ignored.offset()),
          ignored.reason().message());
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
