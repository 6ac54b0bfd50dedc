package io.samphiregauge.core.control;

import io.samphiregauge.core.RandomSource;
import io.samphiregauge.core.Step;
import io.samphiregauge.core.lease.LeaseEvent;
import io.samphiregauge.core.log.LogWriter;
import io.samphiregauge.core.member.MemberEvent;
import io.samphiregauge.core.usage.UsageStore;

/** Handles one event of a coordinator, then runs the tasks that are due. */
final class CoordinatorStep {
  private final StepContext context;

  CoordinatorStep(
      CoordinatorConfig config, ControlState initialState, ClockReading now, RandomSource random) {
    this.context = new StepContext(config, initialState, now, random);
  }

  Step<Coordinator, CoordinatorAction> handle(CoordinatorEvent event) {
    dispatch(event);
    // Usage events arrive with every request and make no task due, so they skip the tasks.
    boolean usageOnly = event instanceof CoordinatorEvent.UsageRecorded;
    if (!usageOnly && !context.progress.endRead()) {
      context.updateMembership(new MemberEvent.Tick());
      PeerExchange.handleLogOutage(context);
      context.updateLeases(new LeaseEvent.Tick(), new LeaseEvent.Tick());
      LeaseHolderTasks.performDueTasks(context);
      PeerExchange.copyUsage(context);
      context.updateLogWriter(new LogWriter.Event.Tick());
      checkEnded();
    }
    return new Step<>(new Coordinator(context.config, context.toControlState()), context.actions);
  }

  private void dispatch(CoordinatorEvent event) {
    if (event instanceof CoordinatorEvent.PageRead pageRead) {
      LogReadHandler.handlePage(context, pageRead.page(), pageRead.requestSentMs());
    }
    if (event instanceof CoordinatorEvent.AppendCompleted append) {
      context.updateLogWriter(append.outcome());
    }
    if (event instanceof CoordinatorEvent.PeerMessageReceived received) {
      PeerExchange.handleMessage(context, received.peerAddress(), received.message());
    }
    if (event instanceof CoordinatorEvent.OrderCompleted order) {
      context.updateOrderer(order.outcome());
    }
    if (event instanceof CoordinatorEvent.ReportCompleted report) {
      context.updateUsageReporter(report.outcome());
    }
    if (event instanceof CoordinatorEvent.VmsListed vms) {
      PeerExchange.addMemberHints(context, vms.peerAddresses(), vms.leavingVms());
    }
    if (event instanceof CoordinatorEvent.UsageRecorded usage) {
      long window = UsageStore.windowAt(context.now.wallMs());
      context.usageStore = context.usageStore.count(window, usage.figure());
    }
    if (event instanceof CoordinatorEvent.Retire) {
      context.updateMembership(new MemberEvent.Leave());
    }
    if (event instanceof CoordinatorEvent.Leave) {
      leave();
    }
  }

  private void leave() {
    ControlState.Progress progress = context.progress;
    context.progress =
        new ControlState.Progress(
            true,
            progress.endWritten(),
            progress.endRead(),
            progress.releasePending(),
            progress.tablePending(),
            context.now.monotonicMs(),
            progress.nextPieceCheckMs());
    context.updateMembership(new MemberEvent.Leave());
    context.updateLeases(new LeaseEvent.Resign(), new LeaseEvent.Resign());
  }

  private void checkEnded() {
    if (!context.state().hasEnded(context.self())) {
      return;
    }
    ControlState.Progress progress = context.progress;
    context.progress =
        new ControlState.Progress(
            true,
            true,
            true,
            progress.releasePending(),
            progress.tablePending(),
            progress.nextUsageCopyMs(),
            progress.nextPieceCheckMs());
    context.actions.add(new CoordinatorAction.IncarnationEnded());
  }
}
