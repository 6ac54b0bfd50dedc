package io.samphiregauge.core.control;

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

/** Parts of a coordinator while one event is handled, and the actions so far. */
final class Work {
  final Entrant entrant;
  final Now now;
  final RandomSource random;
  final List<CoordinatorAction> actions = new ArrayList<>();
  LogReader reader;
  LogWriter writer;
  Freshness freshness;
  LeaseAgent fleet;
  LeaseAgent usage;
  Membership members;
  OutageReports outage;
  EndedProcessDetector ended;
  Orderer orderer;
  UsageStore ledger;
  UsageReporter reporter;
  CheckpointSchedule checkpoints;
  Relay relay;
  ControlState.Progress progress;

  Work(Entrant entrant, ControlState before, Now now, RandomSource random) {
    this.entrant = entrant;
    this.now = now;
    this.random = random;
    this.reader = before.reader();
    this.writer = before.writer();
    this.freshness = before.freshness();
    this.fleet = before.fleet();
    this.usage = before.usage();
    this.members = before.members();
    this.outage = before.outage();
    this.ended = before.ended();
    this.orderer = before.orderer();
    this.ledger = before.ledger();
    this.reporter = before.reporter();
    this.checkpoints = before.checkpoints();
    this.relay = before.relay();
    this.progress = before.progress();
  }

  ControlState freeze() {
    return new ControlState(
        reader,
        writer,
        freshness,
        fleet,
        usage,
        members,
        outage,
        ended,
        orderer,
        ledger,
        reporter,
        checkpoints,
        relay,
        progress);
  }

  FoldedState state() {
    return reader.state();
  }

  Incarnation self() {
    return entrant.self();
  }

  String region() {
    return entrant.joined().getRegion();
  }

  void write(RecordBody body) {
    writer = writer.enqueue(body);
  }

  void send(String peerAddress, PeerMessage message) {
    actions.add(new CoordinatorAction.SendPeer(peerAddress, message));
  }

  void decide(String subject, String decision, String reason) {
    actions.add(new CoordinatorAction.Decided(subject, decision, reason));
  }

  void toWriter(LogWriter.Event event) {
    Step<LogWriter, LogWriter.Append> step = writer.handle(event, now.ms(), random);
    writer = step.state();
    step.actions().forEach(call -> actions.add(new CoordinatorAction.Append(call)));
  }

  void toLeases(LeaseEvent fleetEvent, LeaseEvent usageEvent) {
    Step<LeaseAgent, LeaseAction> fleetStep = fleet.on(fleetEvent, now.ms());
    fleet = fleetStep.state();
    fleetStep.actions().forEach(action -> perform(fleet.role(), action));
    Step<LeaseAgent, LeaseAction> usageStep = usage.on(usageEvent, now.ms());
    usage = usageStep.state();
    usageStep.actions().forEach(action -> perform(usage.role(), action));
  }

  private void perform(String role, LeaseAction action) {
    if (action instanceof LeaseAction.Write write) {
      write(write.body());
    }
    if (action instanceof LeaseAction.Gained gained) {
      decide(role, "lease_gained", "token=" + gained.token());
    }
    if (action instanceof LeaseAction.Lost lost) {
      decide(role, "lease_lost", "token=" + lost.token());
    }
  }

  void toMembers(MemberEvent event) {
    Step<Membership, MemberAction> step = members.apply(event, now.ms(), random);
    members = step.state();
    step.actions().forEach(this::perform);
  }

  void perform(MemberAction action) {
    if (action instanceof MemberAction.Send send) {
      send(send.peerAddress(), send.message());
    }
    if (action instanceof MemberAction.Changed changed) {
      actions.add(new CoordinatorAction.MemberChanged(changed.member()));
    }
  }

  void toOrderer(OrderEvent event) {
    Step<Orderer, OrderAction> step = orderer.on(event, now.ms());
    orderer = step.state();
    for (OrderAction action : step.actions()) {
      if (action instanceof OrderAction.Write write) {
        write(write.body());
      }
      if (action instanceof OrderAction.Send send) {
        actions.add(new CoordinatorAction.SendOrder(send));
      }
      if (action instanceof OrderAction.Decided decided) {
        decide(decided.target(), decided.decision(), decided.reason());
      }
    }
  }

  void toReporter(UsageEvent event) {
    Step<UsageReporter, UsageAction> step = reporter.handle(event, now.ms());
    reporter = step.state();
    step.actions().forEach(this::perform);
  }

  private void perform(UsageAction action) {
    if (action instanceof UsageAction.Append write) {
      write(write.body());
    }
    if (action instanceof UsageAction.Query ask) {
      ask(ask);
    }
    if (action instanceof UsageAction.Report report) {
      actions.add(new CoordinatorAction.SendReport(report));
    }
    if (action instanceof UsageAction.Confirmed confirmed) {
      decide(usage.role(), "usage_reported", describe(confirmed));
    }
    if (action instanceof UsageAction.Conflict conflict) {
      decide(usage.role(), "usage_conflict", "window=" + conflict.window());
    }
  }

  private void ask(UsageAction.Query ask) {
    if (!ask.peerAddress().equals(entrant.joined().getPeerAddress())) {
      send(ask.peerAddress(), ask.query());
      return;
    }
    Step<UsageStore, UsageAnswer> step = ledger.respond(ask.query(), state());
    ledger = step.state();
    step.actions().forEach(answer -> toReporter(new UsageEvent.QueryResponse(answer)));
  }

  private static String describe(UsageAction.Confirmed confirmed) {
    return "window=" + confirmed.window() + (confirmed.late() ? " late" : "");
  }
}
