package io.samphiregauge.verify;

import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.Step;
import io.samphiregauge.core.member.KnownMember;
import io.samphiregauge.core.member.MemberAction;
import io.samphiregauge.core.member.MemberEvent;
import io.samphiregauge.core.member.Membership;
import io.samphiregauge.core.member.OutageReports;
import io.samphiregauge.core.suspect.SuspicionEvent;
import io.samphiregauge.schema.PeerMessage;
import io.samphiregauge.schema.peer.Member;
import io.samphiregauge.schema.peer.MemberState;
import io.samphiregauge.schema.peer.OutageQuery;
import io.samphiregauge.schema.peer.OutageReport;
import io.samphiregauge.schema.record.Incarnation;
import io.samphiregauge.schema.record.ProcessState;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/** Drives the membership and the outage reports of one process, and sends their messages. */
final class MembershipDriver {
  private final SimulatedNode node;
  private final SimulatedDeployment deployment;
  private Membership membership;
  private OutageReports outageReports;

  MembershipDriver(SimulatedNode node, SimulatedDeployment deployment) {
    this.node = node;
    this.deployment = deployment;
    Member self =
        new Member(
            node.self,
            SimulatedDeployment.REGION,
            node.vm.domain,
            node.vm.httpAddress(),
            node.vm.peerAddress(),
            MemberState.ALIVE,
            0,
            -1,
            -1);
    this.outageReports = OutageReports.of(node.vm.name);
    this.membership =
        Membership.of(
            self, deployment.vms.stream().map(SimulatedVm::peerAddress).toList(), node.nowMs());
  }

  private OutageReports.LocalView localView() {
    List<Incarnation> processes =
        node.state().processes().values().stream()
            .filter(process -> !process.isEnded())
            .map(ProcessState::getIncarnation)
            .toList();
    return new OutageReports.LocalView(
        node.state().upToOffset(), processes, node.freshness().ownContactAt());
  }

  /** Returns the time as of which a majority is known to have no log contact, or empty. */
  Optional<DualTimestamp> majorityOutageAt() {
    return node.hasRecentLogContact()
        ? Optional.empty()
        : outageReports.majorityOutageAt(localView(), node.now());
  }

  Membership view() {
    return membership;
  }

  void tick() {
    OptionalLong contactMs = node.freshness().ownContactMs();
    apply(new MemberEvent.Progress(node.state().upToOffset(), contactMs));
    if (node.nowMs() >= membership.deadlineMs()) {
      apply(new MemberEvent.Tick());
    }
    if (node.hasRecentLogContact()) {
      return;
    }
    Step<OutageReports, MemberAction> step =
        outageReports.tick(
            localView(), membership.live(), node.now(), deployment.simulation.random);
    outageReports = step.state();
    step.actions().forEach(this::send);
  }

  /**
   * Returns the other processes that are live, and those that are presumed dead but may still serve
   * requests while unreachable.
   */
  SuspicionEvent.MembersChanged membersChanged() {
    Set<Incarnation> live = new HashSet<>();
    Set<Incarnation> presumedDead = new HashSet<>();
    for (ProcessState process : node.state().processes().values()) {
      live.add(process.getIncarnation());
    }
    for (KnownMember known : membership.live()) {
      live.add(known.member().getIncarnation());
    }
    live.removeIf(other -> other.equals(node.self) || node.state().hasEnded(other));
    live.stream().filter(membership::isPresumedDead).forEach(presumedDead::add);
    live.removeAll(presumedDead);
    return new SuspicionEvent.MembersChanged(live, presumedDead);
  }

  private void receive(SimulatedVm from, PeerMessage message) {
    if (message instanceof OutageQuery query) {
      OutageReport report = outageReports.respond(query, node.self, localView(), node.now());
      send(from, report);
    } else if (message instanceof OutageReport report) {
      outageReports = outageReports.withReport(report, localView());
    } else {
      apply(new MemberEvent.Received(message));
    }
  }

  private void apply(MemberEvent event) {
    Step<Membership, MemberAction> step =
        membership.handle(event, node.nowMs(), deployment.simulation.random);
    membership = step.state();
    step.actions().forEach(this::send);
  }

  private void send(MemberAction action) {
    if (action instanceof MemberAction.Send send) {
      Optional<SimulatedVm> target = deployment.vmAtPeerAddress(send.peerAddress());
      target.ifPresent(vm -> send(vm, send.message()));
    }
  }

  private void send(SimulatedVm to, PeerMessage message) {
    deployment.network.send(node.vm, to, receiver -> receiver.membership.receive(node.vm, message));
  }
}
