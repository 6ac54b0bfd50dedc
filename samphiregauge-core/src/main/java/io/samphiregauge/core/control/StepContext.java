package io.samphiregauge.core.control;

import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.RandomSource;
import io.samphiregauge.core.Step;
import io.samphiregauge.core.lease.LeaseAction;
import io.samphiregauge.core.lease.LeaseAgent;
import io.samphiregauge.core.lease.LeaseEvent;
import io.samphiregauge.core.log.CheckpointSchedule;
import io.samphiregauge.core.log.FoldedState;
import io.samphiregauge.core.log.Freshness;
import io.samphiregauge.core.log.LogReader;
import io.samphiregauge.core.log.LogWriter;
import io.samphiregauge.core.member.EndedProcessDetector;
import io.samphiregauge.core.member.MemberAction;
import io.samphiregauge.core.member.MemberEvent;
import io.samphiregauge.core.member.Membership;
import io.samphiregauge.core.member.OutageReports;
import io.samphiregauge.core.order.OrderAction;
import io.samphiregauge.core.order.OrderEvent;
import io.samphiregauge.core.order.Orderer;
import io.samphiregauge.core.usage.UsageAction;
import io.samphiregauge.core.usage.UsageEvent;
import io.samphiregauge.core.usage.UsageReporter;
import io.samphiregauge.core.usage.UsageStore;
import io.samphiregauge.schema.PeerMessage;
import io.samphiregauge.schema.RecordBody;
import io.samphiregauge.schema.peer.UsageAnswer;
import io.samphiregauge.schema.record.Incarnation;
import java.util.ArrayList;
import java.util.List;

/**
 * Mutable state of a coordinator while it handles one event, and the actions collected so far. Used
 * by one thread.
 */
final class StepContext {
  final CoordinatorConfig config;
  final DualTimestamp now;
  final RandomSource random;
  final List<CoordinatorAction> actions = new ArrayList<>();
  LogReader logReader;
  LogWriter logWriter;
  Freshness freshness;
  LeaseAgent fleetLease;
  LeaseAgent usageLease;
  Membership membership;
  OutageReports outageReports;
  EndedProcessDetector endedProcessDetector;
  Orderer orderer;
  UsageStore usageStore;
  UsageReporter usageReporter;
  CheckpointSchedule checkpointSchedule;
  RecordRelay recordRelay;
  ControlState.TaskState taskState;

  StepContext(
      CoordinatorConfig config, ControlState initialState, DualTimestamp now, RandomSource random) {
    this.config = config;
    this.now = now;
    this.random = random;
    this.logReader = initialState.logReader();
    this.logWriter = initialState.logWriter();
    this.freshness = initialState.freshness();
    this.fleetLease = initialState.fleetLease();
    this.usageLease = initialState.usageLease();
    this.membership = initialState.membership();
    this.outageReports = initialState.outageReports();
    this.endedProcessDetector = initialState.endedProcessDetector();
    this.orderer = initialState.orderer();
    this.usageStore = initialState.usageStore();
    this.usageReporter = initialState.usageReporter();
    this.checkpointSchedule = initialState.checkpointSchedule();
    this.recordRelay = initialState.recordRelay();
    this.taskState = initialState.taskState();
  }

  ControlState toControlState() {
    return new ControlState(
        logReader,
        logWriter,
        freshness,
        fleetLease,
        usageLease,
        membership,
        outageReports,
        endedProcessDetector,
        orderer,
        usageStore,
        usageReporter,
        checkpointSchedule,
        recordRelay,
        taskState);
  }

  FoldedState state() {
    return logReader.state();
  }

  Incarnation self() {
    return config.self();
  }

  String region() {
    return config.joined().getRegion();
  }

  void writeRecord(RecordBody body) {
    logWriter = logWriter.enqueue(body);
  }

  void send(String peerAddress, PeerMessage message) {
    actions.add(new CoordinatorAction.SendPeerMessage(peerAddress, message));
  }

  void addDecision(String subject, String decision, String reason) {
    actions.add(new CoordinatorAction.DecisionMade(subject, decision, reason));
  }

  void updateLogWriter(LogWriter.Event event) {
    Step<LogWriter, LogWriter.Append> step = logWriter.handle(event, now, random);
    logWriter = step.state();
    step.actions().forEach(append -> actions.add(new CoordinatorAction.Append(append)));
  }

  void updateLeases(LeaseEvent fleetEvent, LeaseEvent usageEvent) {
    Step<LeaseAgent, LeaseAction> fleetStep = fleetLease.handle(fleetEvent, now);
    fleetLease = fleetStep.state();
    fleetStep.actions().forEach(action -> translate(fleetLease.role(), action));
    Step<LeaseAgent, LeaseAction> usageStep = usageLease.handle(usageEvent, now);
    usageLease = usageStep.state();
    usageStep.actions().forEach(action -> translate(usageLease.role(), action));
  }

  /** Enqueues the record, or collects the decision, that corresponds to a lease action. */
  private void translate(String role, LeaseAction action) {
    if (action instanceof LeaseAction.Write write) {
      writeRecord(write.body());
    }
    if (action instanceof LeaseAction.Gained gained) {
      addDecision(role, "lease_gained", "token=" + gained.token());
    }
    if (action instanceof LeaseAction.Lost lost) {
      addDecision(role, "lease_lost", "token=" + lost.token());
    }
  }

  void updateMembership(MemberEvent event) {
    Step<Membership, MemberAction> step = membership.handle(event, now.monotonicMs(), random);
    membership = step.state();
    step.actions().forEach(this::translate);
  }

  /** Collects the coordinator action that corresponds to a membership action. */
  void translate(MemberAction action) {
    if (action instanceof MemberAction.Send send) {
      send(send.peerAddress(), send.message());
    }
    if (action instanceof MemberAction.Changed changed) {
      actions.add(new CoordinatorAction.MemberChanged(changed.member()));
    }
  }

  void updateOrderer(OrderEvent event) {
    Step<Orderer, OrderAction> step = orderer.handle(event, now.monotonicMs());
    orderer = step.state();
    for (OrderAction action : step.actions()) {
      if (action instanceof OrderAction.Write write) {
        writeRecord(write.body());
      }
      if (action instanceof OrderAction.Send send) {
        actions.add(new CoordinatorAction.SendOrder(send));
      }
      if (action instanceof OrderAction.DecisionMade decision) {
        addDecision(decision.target(), decision.decision(), decision.reason());
      }
    }
  }

  void updateUsageReporter(UsageEvent event) {
    Step<UsageReporter, UsageAction> step = usageReporter.handle(event, now.monotonicMs());
    usageReporter = step.state();
    step.actions().forEach(this::translate);
  }

  /**
   * Enqueues the record, or collects the coordinator action, that corresponds to a usage action. A
   * query to this process itself is answered immediately.
   */
  private void translate(UsageAction action) {
    if (action instanceof UsageAction.Append append) {
      writeRecord(append.body());
    }
    if (action instanceof UsageAction.Query query) {
      queryUsage(query);
    }
    if (action instanceof UsageAction.Report report) {
      actions.add(new CoordinatorAction.SendReport(report));
    }
    if (action instanceof UsageAction.Confirmed confirmed) {
      addDecision(usageLease.role(), "usage_reported", describeReport(confirmed));
    }
    if (action instanceof UsageAction.Conflict conflict) {
      addDecision(usageLease.role(), "usage_conflict", "window=" + conflict.window());
    }
  }

  private void queryUsage(UsageAction.Query action) {
    if (!action.peerAddress().equals(config.joined().getPeerAddress())) {
      send(action.peerAddress(), action.query());
      return;
    }
    Step<UsageStore, UsageAnswer> step = usageStore.respond(action.query(), state());
    usageStore = step.state();
    step.actions().forEach(answer -> updateUsageReporter(new UsageEvent.QueryResponse(answer)));
  }

  private static String describeReport(UsageAction.Confirmed confirmed) {
    return "window=" + confirmed.window() + (confirmed.late() ? " late" : "");
  }
}
