package io.samphiregauge.verify;

import io.samphiregauge.core.result.Failure;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.core.ticket.RecordedResponse;
import io.samphiregauge.core.ticket.Settlement;
import io.samphiregauge.core.ticket.Ticket;
import io.samphiregauge.core.ticket.TicketDecision;
import io.samphiregauge.core.ticket.TicketFailure;
import io.samphiregauge.core.ticket.TicketLimits;
import io.samphiregauge.core.ticket.TicketReply;
import io.samphiregauge.core.ticket.TicketRequest;
import io.samphiregauge.core.ticket.TicketRoute;
import io.samphiregauge.core.ticket.TicketTable;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;

/** Runs non-idempotent requests in one process and drives its ticket table. */
final class TicketDriver {
  private static final long FORWARD_TIMEOUT_MS = 1_000;
  private static final long SERVICE_TIMEOUT_MS = 1_500;

  /** A reason for a refusal that is not related to tickets. */
  record Refusal(String type, String message) implements Failure {}

  private final SimulatedNode node;
  private final SimulatedDeployment deployment;
  private final TicketTable<Object> table;

  TicketDriver(SimulatedNode node, SimulatedDeployment deployment) {
    this.node = node;
    this.deployment = deployment;
    TicketLimits limits = new TicketLimits(20_000, 60_000, 200, 64, 2_000, 4);
    this.table = new TicketTable<>(node.self, limits, 0, 1);
  }

  /** Handles a request from a caller or one forwarded by another entry. */
  void handle(ServiceCall call) {
    Optional<Ticket> ticket = call.ticket().flatMap(text -> Ticket.parse(text).value());
    if (ticket.isEmpty()) {
      issue(call);
      return;
    }
    TicketRoute route =
        deployment.injectionPoints.ticketRouter.route(
            ticket.get(), node.self, node.state(), call.forwarded());
    if (route instanceof TicketRoute.Unroutable unroutable) {
      reply(call, unroutable.reply());
    } else if (route instanceof TicketRoute.Forward forward) {
      forward(call, forward);
    } else {
      use(call, ticket.get());
    }
  }

  private void issue(ServiceCall call) {
    if (!node.isFresh()) {
      reply(
          call,
          TicketReply.notRun(
              new Refusal("configuration_unknown", "the configuration is not fresh")));
      return;
    }
    Result<Ticket> issued = table.issue(node.nowMs());
    TicketReply refusal =
        TicketReply.notRun(issued.failure().orElseGet(TicketFailure.Required::new));
    call.callback()
        .accept(
            deployment.injectionPoints.replyFilter.apply(refusal),
            issued.value().map(Ticket::text));
  }

  private void forward(ServiceCall call, TicketRoute.Forward forward) {
    String vmName = forward.httpAddress().split(":", 2)[0];
    SimulatedVm owner = deployment.vm(vmName).orElseThrow();
    AtomicBoolean pending = new AtomicBoolean(true);
    ServiceCall forwarded =
        call.asForwarded(
            (reply, ticket) ->
                deployment.network.send(
                    owner,
                    node.vm,
                    receiver -> {
                      if (receiver == node && pending.getAndSet(false)) {
                        reply(call, reply);
                      }
                    }));
    deployment.network.send(node.vm, owner, receiver -> receiver.traffic.tickets.handle(forwarded));
    schedule(
        FORWARD_TIMEOUT_MS,
        () -> {
          if (pending.getAndSet(false)) {
            reply(call, TicketReply.outcomeUnknown(new TicketFailure.OwnerUnreachable(vmName)));
          }
        });
  }

  private void use(ServiceCall call, Ticket ticket) {
    TicketRequest request = new TicketRequest(SimulatedDeployment.TEAM, call.request());
    TicketDecision decision =
        deployment.injectionPoints.ticketUse.decide(
            table, ticket, request, call, node.nowMs(), () -> admissionFailure(call));
    if (decision instanceof TicketDecision.Reply reply) {
      reply(call, reply.reply());
    } else if (decision instanceof TicketDecision.Run run) {
      connect(call.request(), run.ticket(), new ArrayList<>(deployment.services));
    }
  }

  private Optional<Failure> admissionFailure(ServiceCall call) {
    return node.traffic.admits(call.key())
        ? Optional.empty()
        : Optional.of(
            new Refusal("not_admitted", "unknown key, or the configuration is not fresh"));
  }

  /** Opens a connection to a random service that has not been tried yet. */
  private void connect(String request, Ticket ticket, List<SimulatedService> untried) {
    if (untried.isEmpty()) {
      settle(
          table.fail(
              ticket,
              new Refusal("not_connected", "no service accepts connections"),
              node.nowMs()));
      return;
    }
    SimulatedService service =
        untried.remove(deployment.simulation.random.nextIndex(untried.size()));
    schedule(
        deployment.simulation.random.between(1, 30),
        () -> {
          if (!service.isUp()) {
            retry(request, ticket, untried, "connection failed");
          } else if (deployment.injectionPoints.dispatchCheck.mayDispatch(table, ticket)) {
            write(request, ticket, service, untried);
          }
        });
  }

  private void write(
      String request, Ticket ticket, SimulatedService service, List<SimulatedService> untried) {
    AtomicBoolean pending = new AtomicBoolean(true);
    service.write(
        request,
        ticket.text(),
        body ->
            node.vm.runInNode(
                node,
                () -> {
                  pending.set(false);
                  complete(ticket, body);
                }));
    schedule(
        SERVICE_TIMEOUT_MS,
        () -> {
          if (pending.getAndSet(false)) {
            retry(request, ticket, untried, "no response from the service");
          }
        });
  }

  private void retry(String request, Ticket ticket, List<SimulatedService> untried, String cause) {
    if (deployment.injectionPoints.retryCheck.mayRetry(table, ticket)) {
      connect(request, ticket, untried);
      return;
    }
    settle(table.fail(ticket, new Refusal("service_lost", cause), node.nowMs()));
  }

  private void complete(Ticket ticket, String body) {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    settle(table.complete(ticket, RecordedResponse.of(200, "text/plain", bytes), node.nowMs()));
  }

  private void settle(Optional<Settlement<Object>> settlement) {
    settlement.ifPresent(
        settled ->
            settled.waiters().forEach(waiter -> reply((ServiceCall) waiter, settled.reply())));
  }

  private void reply(ServiceCall call, TicketReply reply) {
    call.callback().accept(deployment.injectionPoints.replyFilter.apply(reply), Optional.empty());
  }

  private void schedule(long delayMs, Runnable task) {
    deployment.simulation.schedule(delayMs, () -> node.vm.runInNode(node, task));
  }
}
