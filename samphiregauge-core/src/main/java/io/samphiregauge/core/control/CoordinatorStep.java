package io.samphiregauge.core.control;

import io.samphiregauge.core.RandomSource;
import io.samphiregauge.core.Step;
import io.samphiregauge.core.lease.LeaseEvent;
import io.samphiregauge.core.log.LogWriter;
import io.samphiregauge.core.member.MemberEvent;
import io.samphiregauge.core.usage.UsageStore;

/** One step of a coordinator: takes the event, then lets each part do what is due. */
final class CoordinatorStep {
  private final Work work;

  CoordinatorStep(Entrant entrant, ControlState before, Now now, RandomSource random) {
    this.work = new Work(entrant, before, now, random);
  }

  Step<Coordinator, CoordinatorAction> take(CoordinatorEvent event) {
    dispatch(event);
    // Usage is counted for each request, and nothing else becomes due by it.
    boolean counts = event instanceof CoordinatorEvent.Used;
    if (!counts && !work.progress.endSeen()) {
      work.toMembers(new MemberEvent.Tick());
      PeerPart.bridgeOutage(work);
      work.toLeases(new LeaseEvent.Tick(), new LeaseEvent.Tick());
      HolderPart.act(work);
      PeerPart.copyUsage(work);
      work.toWriter(new LogWriter.Event.Tick());
      noticeEnd();
    }
    return new Step<>(new Coordinator(work.entrant, work.freeze()), work.actions);
  }

  private void dispatch(CoordinatorEvent event) {
    if (event instanceof CoordinatorEvent.PageRead read) {
      LogPart.page(work, read.page(), read.requestSentMs());
    }
    if (event instanceof CoordinatorEvent.Appended appended) {
      work.toWriter(appended.outcome());
    }
    if (event instanceof CoordinatorEvent.FromPeer peer) {
      PeerPart.received(work, peer.peerAddress(), peer.message());
    }
    if (event instanceof CoordinatorEvent.Ordered ordered) {
      work.toOrderer(ordered.outcome());
    }
    if (event instanceof CoordinatorEvent.Reported reported) {
      work.toReporter(reported.outcome());
    }
    if (event instanceof CoordinatorEvent.VmsListed listed) {
      PeerPart.hint(work, listed.peerAddresses(), listed.leavingVms());
    }
    if (event instanceof CoordinatorEvent.Used used) {
      long window = UsageStore.windowAt(work.now.wallMs());
      work.ledger = work.ledger.count(window, used.figure());
    }
    if (event instanceof CoordinatorEvent.Retire) {
      work.toMembers(new MemberEvent.Leave());
    }
    if (event instanceof CoordinatorEvent.Leave) {
      leave();
    }
  }

  private void leave() {
    ControlState.Progress p = work.progress;
    work.progress =
        new ControlState.Progress(
            true,
            p.endWritten(),
            p.endSeen(),
            p.releasing(),
            p.tableWritten(),
            work.now.ms(),
            p.piecesMs());
    work.toMembers(new MemberEvent.Leave());
    work.toLeases(new LeaseEvent.Resign(), new LeaseEvent.Resign());
  }

  private void noticeEnd() {
    if (!work.state().hasEnded(work.self())) {
      return;
    }
    ControlState.Progress p = work.progress;
    work.progress =
        new ControlState.Progress(
            true, true, true, p.releasing(), p.tableWritten(), p.copyMs(), p.piecesMs());
    work.actions.add(new CoordinatorAction.HasEnded());
  }
}
