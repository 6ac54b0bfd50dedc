package io.samphiregauge.verify;

import io.samphiregauge.core.Step;
import io.samphiregauge.core.usage.UsageAction;
import io.samphiregauge.core.usage.UsageEvent;
import io.samphiregauge.core.usage.UsageReporter;
import io.samphiregauge.core.usage.UsageStore;
import io.samphiregauge.schema.peer.UsageAnswer;
import io.samphiregauge.schema.peer.UsageCopy;
import io.samphiregauge.schema.peer.UsageQuery;
import io.samphiregauge.schema.platform.UsageReport;
import io.samphiregauge.schema.record.LogRecord;
import io.samphiregauge.schema.record.UsageFigure;
import io.samphiregauge.schema.record.UsageSealed;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicBoolean;

/** Counts usage in one process, copies its counters to a peer, and reports sealed usage. */
final class UsageDriver {
  /** Probability of a pause before a report is sent, and of the loss of its response. */
  private static final double FAULT_PROBABILITY = 0.2;

  private static final long TIMEOUT_MS = 500;

  private final SimulatedNode node;
  private final SimulatedDeployment deployment;
  private final FaultSimulation simulation;
  private UsageStore store;
  private UsageReporter reporter;
  private long lastCopyMs;

  UsageDriver(SimulatedNode node, SimulatedDeployment deployment) {
    this.node = node;
    this.deployment = deployment;
    this.simulation = deployment.simulation;
    this.store = UsageStore.of(SimulatedDeployment.REGION, node.self);
    this.reporter = UsageReporter.of(SimulatedDeployment.REGION, node.self);
  }

  void count() {
    UsageFigure figure = new UsageFigure(SimulatedDeployment.TEAM, "model", 1, 10, 20, 3);
    store = store.count(UsageStore.windowAt(node.vm.wallMs()), figure);
  }

  void tick() {
    copyToPeer();
    OptionalLong token = node.token(SimulatedDeployment.USAGE);
    apply(new UsageEvent.Tick(node.state(), token, node.vm.wallMs()));
  }

  void onRecord(LogRecord record, boolean isOwn, boolean accepted) {
    if (accepted && record.getBody() instanceof UsageSealed sealed) {
      store = store.applySeal(sealed);
    }
    if (isOwn) {
      apply(new UsageEvent.ReadBack(record.getBody()));
    }
  }

  /** Copies the counters to the first VM of another failure domain. */
  private void copyToPeer() {
    if (node.nowMs() - lastCopyMs < UsageStore.COPY_INTERVAL_MS) {
      return;
    }
    lastCopyMs = node.nowMs();
    SimulatedVm peer =
        deployment.vms.stream()
            .filter(vm -> !vm.domain.equals(node.vm.domain))
            .findFirst()
            .orElseThrow();
    Step<UsageStore, UsageCopy> step = store.copyTo(peer.name);
    store = step.state();
    step.actions()
        .forEach(
            copy ->
                deployment.network.send(
                    node.vm, peer, receiver -> receiver.usage.receiveCopy(copy)));
  }

  private void receiveCopy(UsageCopy copy) {
    store = store.mergeCopy(copy);
  }

  private UsageAnswer respond(UsageQuery query) {
    Step<UsageStore, UsageAnswer> step = store.respond(query, node.state());
    store = step.state();
    return step.actions().get(0);
  }

  private void apply(UsageEvent event) {
    Step<UsageReporter, UsageAction> step = reporter.handle(event, node.nowMs());
    reporter = step.state();
    for (UsageAction action : step.actions()) {
      if (action instanceof UsageAction.Append write) {
        node.write(write.body());
      } else if (action instanceof UsageAction.Query query) {
        query(query);
      } else if (action instanceof UsageAction.Report report) {
        report(report);
      }
    }
  }

  private void query(UsageAction.Query query) {
    SimulatedVm peer = deployment.vmAtPeerAddress(query.peerAddress()).orElseThrow();
    deployment.network.send(
        node.vm,
        peer,
        responder -> {
          UsageAnswer response = responder.usage.respond(query.query());
          deployment.network.send(
              peer,
              node.vm,
              receiver -> {
                if (receiver == node) {
                  apply(new UsageEvent.QueryResponse(response));
                }
              });
        });
  }

  /** Checks the lease immediately before sending; a pause may still follow the check. */
  private void report(UsageAction.Report action) {
    OptionalLong token = node.token(SimulatedDeployment.USAGE);
    if (token.isEmpty() || token.getAsLong() != action.leaseToken()) {
      schedule(
          TIMEOUT_MS,
          () -> apply(new UsageEvent.ReportOutcomeUnknown(action.report().getWindow())));
      return;
    }
    if (simulation.random.chance(FAULT_PROBABILITY)) {
      node.vm.pause(simulation.random.between(1_000, 16_000));
    }
    node.vm.runInNode(node, () -> transmit(action.report()));
  }

  private void transmit(UsageReport report) {
    AtomicBoolean pending = new AtomicBoolean(true);
    simulation.schedule(
        simulation.random.between(1, 30),
        () -> {
          var status = deployment.usageInterface.receive(report);
          boolean responseArrives = !simulation.random.chance(FAULT_PROBABILITY);
          schedule(
              simulation.random.between(1, 30),
              () -> {
                if (responseArrives && pending.getAndSet(false)) {
                  long wallMs = node.vm.wallMs();
                  apply(new UsageEvent.ReportResponse(report.getWindow(), status, wallMs));
                }
              });
        });
    schedule(
        TIMEOUT_MS,
        () -> {
          if (pending.getAndSet(false)) {
            apply(new UsageEvent.ReportOutcomeUnknown(report.getWindow()));
          }
        });
  }

  private void schedule(long delayMs, Runnable task) {
    simulation.schedule(delayMs, () -> node.vm.runInNode(node, task));
  }
}
