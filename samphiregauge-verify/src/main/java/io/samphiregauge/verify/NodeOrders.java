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

/** Gives orders from one process. */
final class NodeOrders {
  private static final double WISH = 0.1;
  private static final double LOST = 0.1;
  private static final long TIMEOUT_MS = 500;

  private final Node node;
  private final Deployment deployment;
  private final World world;
  private Orderer orderer;

  NodeOrders(Node node, Deployment deployment) {
    this.node = node;
    this.deployment = deployment;
    this.world = deployment.world;
    this.orderer = Orderer.of(Deployment.REGION, node.self);
  }

  void tick() {
    OptionalLong token = node.token(Deployment.FLEET);
    boolean wants = token.isPresent() && world.random.chance(WISH);
    List<DesiredChange> wishes = wants ? List.of(wish()) : List.of();
    apply(new OrderEvent.Tick(node.state(), token, wishes));
  }

  void read(LogRecord own) {
    if (own.getBody() instanceof OrderIntent intent) {
      apply(new OrderEvent.IntentRead(intent.getTarget()));
    }
  }

  private DesiredChange wish() {
    if (world.random.chance(0.3)) {
      StartBackends start = new StartBackends("d0", 1, true, EngineRole.MIXED);
      return new DesiredChange(Orders.PLATFORM, start, "drawn");
    }
    EngineRole role = world.random.pick(List.of(EngineRole.values()));
    return new DesiredChange(
        world.random.pick(deployment.engines).name, new ChangeRole(role), "drawn");
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

  /** The lease is checked at the last step; a pause may still come between check and write. */
  private void send(OrderAction.Send send) {
    OptionalLong token = node.token(Deployment.FLEET);
    if (token.isEmpty() || token.getAsLong() != send.leaseToken()) {
      return;
    }
    if (world.random.chance(deployment.seams.pauseBeforeWrite)) {
      node.vm.pause(world.random.between(1_000, 16_000));
    }
    node.vm.inProcess(node, () -> write(send));
  }

  private void write(OrderAction.Send send) {
    AtomicBoolean open = new AtomicBoolean(true);
    if (!world.random.chance(LOST)) {
      world.in(world.random.between(1, 30), () -> arrive(send, open));
    }
    later(
        TIMEOUT_MS,
        () -> {
          if (open.getAndSet(false)) {
            apply(new OrderEvent.OutcomeUnknown(send.intentOffset()));
          }
        });
  }

  private void arrive(OrderAction.Send send, AtomicBoolean open) {
    var status = deployment.target(send.target()).take(send.intentOffset(), send.order());
    if (world.random.chance(LOST)) {
      return;
    }
    later(
        world.random.between(1, 30),
        () -> {
          if (open.getAndSet(false)) {
            apply(new OrderEvent.Responded(send.intentOffset(), status));
          }
        });
  }

  private void later(long delayMs, Runnable what) {
    world.in(delayMs, () -> node.vm.inProcess(node, what));
  }
}
