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

/** Runs non-idempotent requests in one process. */
final class NodeTickets {
  private static final long FORWARD_TIMEOUT_MS = 1_000;
  private static final long SERVICE_TIMEOUT_MS = 1_500;

  /** A reason that has nothing to do with tickets. */
  record Refusal(String type, String message) implements Failure {}

  private final Node node;
  private final Deployment deployment;
  private final TicketTable<Object> book;

  NodeTickets(Node node, Deployment deployment) {
    this.node = node;
    this.deployment = deployment;
    TicketLimits limits = new TicketLimits(20_000, 60_000, 200, 64, 2_000, 4);
    this.book = new TicketTable<>(node.self, limits, 0, 1);
  }

  /** Takes a request from a caller or from another entry. */
  void take(ServiceCall call) {
    Optional<Ticket> ticket = call.ticket().flatMap(text -> Ticket.parse(text).value());
    if (ticket.isEmpty()) {
      issue(call);
      return;
    }
    TicketRoute place =
        deployment.seams.place.of(ticket.get(), node.self, node.state(), call.forwarded());
    if (place instanceof TicketRoute.Unroutable nowhere) {
      answer(call, nowhere.reply());
    } else if (place instanceof TicketRoute.Forward forward) {
      forward(call, forward);
    } else {
      use(call, ticket.get());
    }
  }

  private void issue(ServiceCall call) {
    if (!node.isFresh()) {
      answer(call, TicketReply.notRun(new Refusal("configuration_unknown", "not fresh")));
      return;
    }
    Result<Ticket> issued = book.issue(node.nowMs());
    TicketReply refusal =
        TicketReply.notRun(issued.failure().orElseGet(TicketFailure.Required::new));
    call.answer().accept(deployment.seams.reply.of(refusal), issued.value().map(Ticket::text));
  }

  private void forward(ServiceCall call, TicketRoute.Forward forward) {
    String vmName = forward.httpAddress().split(":", 2)[0];
    Vm owner = deployment.vm(vmName).orElseThrow();
    AtomicBoolean open = new AtomicBoolean(true);
    ServiceCall passed =
        call.forward(
            (reply, ticket) ->
                deployment.net.send(
                    owner,
                    node.vm,
                    here -> {
                      if (here == node && open.getAndSet(false)) {
                        answer(call, reply);
                      }
                    }));
    deployment.net.send(node.vm, owner, there -> there.traffic.tickets.take(passed));
    later(
        FORWARD_TIMEOUT_MS,
        () -> {
          if (open.getAndSet(false)) {
            answer(call, TicketReply.outcomeUnknown(new TicketFailure.OwnerUnreachable(vmName)));
          }
        });
  }

  private void use(ServiceCall call, Ticket ticket) {
    TicketRequest request = new TicketRequest(Deployment.TEAM, call.request());
    TicketDecision decision =
        deployment.seams.use.decide(
            book, ticket, request, call, node.nowMs(), () -> obstacle(call));
    if (decision instanceof TicketDecision.Reply reply) {
      answer(call, reply.reply());
    } else if (decision instanceof TicketDecision.Run run) {
      connect(call.request(), run.ticket(), new ArrayList<>(deployment.services));
    }
  }

  private Optional<Failure> obstacle(ServiceCall call) {
    return node.traffic.admits(call.key())
        ? Optional.empty()
        : Optional.of(new Refusal("not_admitted", "the key or the configuration is not known"));
  }

  /** Opens a connection to one of the services that were not tried yet. */
  private void connect(String request, Ticket ticket, List<ServiceFake> left) {
    if (left.isEmpty()) {
      settle(book.fail(ticket, new Refusal("not_connected", "no service"), node.nowMs()));
      return;
    }
    ServiceFake service = left.remove(deployment.world.random.nextIndex(left.size()));
    later(
        deployment.world.random.between(1, 30),
        () -> {
          if (!service.isUp()) {
            retry(request, ticket, left, "not connected");
          } else if (deployment.seams.dispatch.mayWrite(book, ticket)) {
            write(request, ticket, service, left);
          }
        });
  }

  private void write(String request, Ticket ticket, ServiceFake service, List<ServiceFake> left) {
    AtomicBoolean open = new AtomicBoolean(true);
    service.write(
        request,
        ticket.text(),
        body ->
            node.vm.inProcess(
                node,
                () -> {
                  open.set(false);
                  finish(ticket, body);
                }));
    later(
        SERVICE_TIMEOUT_MS,
        () -> {
          if (open.getAndSet(false)) {
            retry(request, ticket, left, "no answer");
          }
        });
  }

  private void retry(String request, Ticket ticket, List<ServiceFake> left, String cause) {
    if (deployment.seams.retry.mayRetry(book, ticket)) {
      connect(request, ticket, left);
      return;
    }
    settle(book.fail(ticket, new Refusal("service_lost", cause), node.nowMs()));
  }

  private void finish(Ticket ticket, String body) {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    settle(book.complete(ticket, RecordedResponse.of(200, "text/plain", bytes), node.nowMs()));
  }

  private void settle(Optional<Settlement<Object>> settlement) {
    settlement.ifPresent(
        settled ->
            settled.waiters().forEach(waiter -> answer((ServiceCall) waiter, settled.reply())));
  }

  private void answer(ServiceCall call, TicketReply reply) {
    call.answer().accept(deployment.seams.reply.of(reply), Optional.empty());
  }

  private void later(long delayMs, Runnable what) {
    deployment.world.in(delayMs, () -> node.vm.inProcess(node, what));
  }
}
