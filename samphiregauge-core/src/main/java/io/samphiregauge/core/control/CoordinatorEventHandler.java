package io.samphiregauge.core.control;

import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.RandomSource;
import io.samphiregauge.core.Step;
import io.samphiregauge.core.lease.LeaseEvent;
import io.samphiregauge.core.log.LogWriter;
import io.samphiregauge.core.member.MemberEvent;
import io.samphiregauge.core.usage.UsageStore;

/**
 * Handles one event of a coordinator and, unless it is a usage event or this incarnation has ended,
 * runs the tasks that are due.
 */
final class CoordinatorEventHandler {
  private final StepContext context;

  CoordinatorEventHandler(
      CoordinatorConfig config, ControlState initialState, DualTimestamp now, RandomSource random) {
    this.context = new StepContext(config, initialState, now, random);
  }

  Step<Coordinator, CoordinatorAction> handle(CoordinatorEvent event) {
    dispatch(event);
    // Usage events arrive several times a second for each team and model with traffic, and make no
    // task due.
    boolean usageOnly = event instanceof CoordinatorEvent.UsageRecorded;
    if (!usageOnly && !context.taskState.endRead()) {
      context.updateMembership(new MemberEvent.Tick());
      PeerExchange.handleLogOutage(context);
      context.updateLeases(new LeaseEvent.Tick(), new LeaseEvent.Tick());
      PeriodicTasks.performDueTasks(context);
      PeerExchange.copyUsage(context);
      context.updateLogWriter(new LogWriter.Event.Tick());
      checkEnded();
    }
    return new Step<>(new Coordinator(context.config, context.toControlState()), context.actions);
  }

  private void dispatch(CoordinatorEvent event) {
    if (event instanceof CoordinatorEvent.PageRead pageRead) {
      LogReadHandler.handlePage(context, pageRead.page(), pageRead.requestSentAt());
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
    if (event instanceof CoordinatorEvent.UsageRecorded recorded) {
      long window = UsageStore.windowAt(context.now.wallMs());
      context.usageStore = context.usageStore.count(window, recorded.figure());
    }
    if (event instanceof CoordinatorEvent.ShutdownAnnounced) {
      context.updateMembership(new MemberEvent.Leave());
    }
    if (event instanceof CoordinatorEvent.ShutdownStarted) {
      startShutdown();
    }
  }

  /** Announces the shutdown, resigns the leases, and makes a usage copy due immediately. */
  private void startShutdown() {
    ControlState.TaskState previous = context.taskState;
    context.taskState =
        new ControlState.TaskState(
            true,
            previous.endSubmitted(),
            previous.endRead(),
            previous.releasePending(),
            previous.tablePending(),
            context.now.monotonicMs(),
            previous.nextPieceCheckMs());
    context.updateMembership(new MemberEvent.Leave());
    context.updateLeases(new LeaseEvent.Resign(), new LeaseEvent.Resign());
  }

  private void checkEnded() {
    if (!context.state().hasEnded(context.self())) {
      return;
    }
    ControlState.TaskState previous = context.taskState;
    context.taskState =
        new ControlState.TaskState(
            true,
            true,
            true,
            previous.releasePending(),
            previous.tablePending(),
            previous.nextUsageCopyMs(),
            previous.nextPieceCheckMs());
    context.actions.add(new CoordinatorAction.IncarnationEnded());
  }
}
