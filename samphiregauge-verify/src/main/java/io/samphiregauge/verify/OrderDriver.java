package io.samphiregauge.verify;

import io.samphiregauge.core.Step;
import io.samphiregauge.core.order.DesiredChange;
import io.samphiregauge.core.order.OrderAction;
import io.samphiregauge.core.order.OrderEvent;
import io.samphiregauge.core.order.Orderer;
import io.samphiregauge.core.order.Orders;
import io.samphiregauge.schema.order.ChangeRole;
import io.samphiregauge.schema.order.EngineRole;
import io.samphiregauge.schema.order.StartBackends;
import io.samphiregauge.schema.record.LogRecord;
import io.samphiregauge.schema.record.OrderIntent;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicBoolean;

/** Drives the orderer of one process with random desired changes, and sends its orders. */
final class OrderDriver {
  /** Probability that a tick of the lease holder requests a change. */
  private static final double CHANGE_PROBABILITY = 0.1;

  /** Probability of the loss of an order, and of the loss of its response. */
  private static final double LOSS_PROBABILITY = 0.1;

  private static final long TIMEOUT_MS = 500;

  private final SimulatedNode node;
  private final SimulatedDeployment deployment;
  private final FaultSimulation simulation;
  private Orderer orderer;

  OrderDriver(SimulatedNode node, SimulatedDeployment deployment) {
    this.node = node;
    this.deployment = deployment;
    this.simulation = deployment.simulation;
    this.orderer = Orderer.of(SimulatedDeployment.REGION, node.self);
  }

  void tick() {
    OptionalLong token = node.token(SimulatedDeployment.FLEET);
    boolean requestsChange = token.isPresent() && simulation.random.chance(CHANGE_PROBABILITY);
    List<DesiredChange> desiredChanges = requestsChange ? List.of(randomChange()) : List.of();
    apply(new OrderEvent.Tick(node.state(), token, desiredChanges));
  }

  void onOwnRecord(LogRecord record) {
    if (record.getBody() instanceof OrderIntent intent) {
      apply(new OrderEvent.IntentRead(intent.getTarget()));
    }
  }

  private DesiredChange randomChange() {
    if (simulation.random.chance(0.3)) {
      StartBackends startBackends = new StartBackends("d0", 1, true, EngineRole.MIXED);
      return new DesiredChange(Orders.PLATFORM, startBackends, "drawn");
    }
    EngineRole role = simulation.random.pick(List.of(EngineRole.values()));
    return new DesiredChange(
        simulation.random.pick(deployment.engines).name, new ChangeRole(role), "drawn");
  }

  private void apply(OrderEvent event) {
    Step<Orderer, OrderAction> step = orderer.handle(event, node.nowMs());
    orderer = step.state();
    for (OrderAction action : step.actions()) {
      if (action instanceof OrderAction.Write write) {
        node.write(write.body());
      } else if (action instanceof OrderAction.Send send) {
        send(send);
      }
    }
  }

  /** Checks the lease immediately before sending; a pause may still follow the check. */
  private void send(OrderAction.Send send) {
    OptionalLong token = node.token(SimulatedDeployment.FLEET);
    if (token.isEmpty() || token.getAsLong() != send.leaseToken()) {
      return;
    }
    if (simulation.random.chance(deployment.injectionPoints.pauseBeforeWriteProbability)) {
      node.vm.pause(simulation.random.between(1_000, 16_000));
    }
    node.vm.runInNode(node, () -> transmit(send));
  }

  private void transmit(OrderAction.Send send) {
    AtomicBoolean pending = new AtomicBoolean(true);
    if (!simulation.random.chance(LOSS_PROBABILITY)) {
      simulation.schedule(simulation.random.between(1, 30), () -> deliver(send, pending));
    }
    schedule(
        TIMEOUT_MS,
        () -> {
          if (pending.getAndSet(false)) {
            apply(new OrderEvent.OutcomeUnknown(send.intentOffset()));
          }
        });
  }

  private void deliver(OrderAction.Send send, AtomicBoolean pending) {
    var status = deployment.target(send.target()).apply(send.intentOffset(), send.order());
    if (simulation.random.chance(LOSS_PROBABILITY)) {
      return;
    }
    schedule(
        simulation.random.between(1, 30),
        () -> {
          if (pending.getAndSet(false)) {
            apply(new OrderEvent.Responded(send.intentOffset(), status));
          }
        });
  }

  private void schedule(long delayMs, Runnable task) {
    simulation.schedule(delayMs, () -> node.vm.runInNode(node, task));
  }
}
