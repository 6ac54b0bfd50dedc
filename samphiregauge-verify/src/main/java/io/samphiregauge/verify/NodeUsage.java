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

/** Counts and reports usage in one process. */
final class NodeUsage {
  private static final double LOST = 0.2;
  private static final long TIMEOUT_MS = 500;

  private final Node node;
  private final Deployment deployment;
  private final World world;
  private UsageStore ledger;
  private UsageReporter reporter;
  private long copiedMs;

  NodeUsage(Node node, Deployment deployment) {
    this.node = node;
    this.deployment = deployment;
    this.world = deployment.world;
    this.ledger = UsageStore.of(Deployment.REGION, node.self);
    this.reporter = UsageReporter.of(Deployment.REGION, node.self);
  }

  void count() {
    UsageFigure figure = new UsageFigure(Deployment.TEAM, "model", 1, 10, 20, 3);
    ledger = ledger.count(UsageStore.windowAt(node.vm.wallMs()), figure);
  }

  void tick() {
    copy();
    OptionalLong token = node.token(Deployment.USAGE);
    apply(new UsageEvent.Tick(node.state(), token, node.vm.wallMs()));
  }

  void read(LogRecord entry, boolean own, boolean accepted) {
    if (accepted && entry.getBody() instanceof UsageSealed sealed) {
      ledger = ledger.applySeal(sealed);
    }
    if (own) {
      apply(new UsageEvent.ReadBack(entry.getBody()));
    }
  }

  /** Copies the counters to the first VM of another failure domain. */
  private void copy() {
    if (node.nowMs() - copiedMs < UsageStore.COPY_INTERVAL_MS) {
      return;
    }
    copiedMs = node.nowMs();
    Vm peer =
        deployment.vms.stream()
            .filter(vm -> !vm.domain.equals(node.vm.domain))
            .findFirst()
            .orElseThrow();
    Step<UsageStore, UsageCopy> step = ledger.copyTo(peer.name);
    ledger = step.state();
    step.actions()
        .forEach(copy -> deployment.net.send(node.vm, peer, there -> there.usage.take(copy)));
  }

  private void take(UsageCopy copy) {
    ledger = ledger.mergeCopy(copy);
  }

  private UsageAnswer answer(UsageQuery query) {
    Step<UsageStore, UsageAnswer> step = ledger.respond(query, node.state());
    ledger = step.state();
    return step.actions().get(0);
  }

  private void apply(UsageEvent event) {
    Step<UsageReporter, UsageAction> step = reporter.handle(event, node.nowMs());
    reporter = step.state();
    for (UsageAction action : step.actions()) {
      if (action instanceof UsageAction.Append write) {
        node.write(write.body());
      } else if (action instanceof UsageAction.Query ask) {
        ask(ask);
      } else if (action instanceof UsageAction.Report report) {
        report(report);
      }
    }
  }

  private void ask(UsageAction.Query ask) {
    Vm peer = deployment.vmAtPeerAddress(ask.peerAddress()).orElseThrow();
    deployment.net.send(
        node.vm,
        peer,
        there -> {
          UsageAnswer answer = there.usage.answer(ask.query());
          deployment.net.send(
              peer,
              node.vm,
              here -> {
                if (here == node) {
                  apply(new UsageEvent.QueryResponse(answer));
                }
              });
        });
  }

  /** The lease is checked at the last step; a pause may still come between check and write. */
  private void report(UsageAction.Report action) {
    OptionalLong token = node.token(Deployment.USAGE);
    if (token.isEmpty() || token.getAsLong() != action.leaseToken()) {
      later(
          TIMEOUT_MS,
          () -> apply(new UsageEvent.ReportOutcomeUnknown(action.report().getWindow())));
      return;
    }
    if (world.random.chance(LOST)) {
      node.vm.pause(world.random.between(1_000, 16_000));
    }
    node.vm.inProcess(node, () -> write(action.report()));
  }

  private void write(UsageReport report) {
    AtomicBoolean open = new AtomicBoolean(true);
    world.in(
        world.random.between(1, 30),
        () -> {
          var status = deployment.usage.take(report);
          boolean answers = !world.random.chance(LOST);
          later(
              world.random.between(1, 30),
              () -> {
                if (answers && open.getAndSet(false)) {
                  long wallMs = node.vm.wallMs();
                  apply(new UsageEvent.ReportResponse(report.getWindow(), status, wallMs));
                }
              });
        });
    later(
        TIMEOUT_MS,
        () -> {
          if (open.getAndSet(false)) {
            apply(new UsageEvent.ReportOutcomeUnknown(report.getWindow()));
          }
        });
  }

  private void later(long delayMs, Runnable what) {
    world.in(delayMs, () -> node.vm.inProcess(node, what));
  }
}
