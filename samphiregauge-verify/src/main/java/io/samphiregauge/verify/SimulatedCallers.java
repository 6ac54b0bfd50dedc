package io.samphiregauge.verify;

import io.samphiregauge.core.ticket.TicketReply;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Simulates callers, which time out, retry requests, and present their tickets to other entries.
 */
final class SimulatedCallers {
  private static final long TIMEOUT_MS = 2_500;
  private static final int MAX_ATTEMPTS = 8;

  private final SimulatedDeployment deployment;
  private final FaultSimulation simulation;
  private final SimulatedOperators operators;
  private int requestCount;

  SimulatedCallers(SimulatedDeployment deployment, SimulatedOperators operators) {
    this.deployment = deployment;
    this.simulation = deployment.simulation;
    this.operators = operators;
  }

  void start() {
    repeat(400, this::sendServiceRequest);
    repeat(300, () -> sendEngineCall(false));
    repeat(6_000, () -> sendEngineCall(true));
    repeat(250, this::sendIdempotentRequest);
  }

  private void repeat(long meanMs, Runnable task) {
    simulation.schedule(
        simulation.random.between(1, 2 * meanMs),
        () -> {
          task.run();
          repeat(meanMs, task);
        });
  }

  /** Sends an idempotent request with an API key that may have been withdrawn. */
  private void sendIdempotentRequest() {
    SimulatedVm vm = simulation.random.pick(deployment.vms);
    String key = operators.pickKey();
    vm.node().ifPresent(node -> vm.runInNode(node, () -> node.traffic.admits(key)));
  }

  /** Sends a non-idempotent request. */
  private void sendServiceRequest() {
    String request = "r" + requestCount++;
    sendServiceCall(request, operators.pickValidKey(), Optional.empty(), MAX_ATTEMPTS);
  }

  private void sendServiceCall(
      String request, String key, Optional<String> ticket, int attemptsLeft) {
    if (attemptsLeft == 0) {
      return;
    }
    AtomicBoolean pending = new AtomicBoolean(true);
    ServiceCall call =
        new ServiceCall(
            request,
            key,
            ticket,
            false,
            (reply, issued) ->
                simulation.schedule(
                    simulation.random.between(1, 20),
                    () -> onReply(request, key, ticket, reply, issued, attemptsLeft, pending)));
    SimulatedVm vm = simulation.random.pick(deployment.vms);
    vm.node().ifPresent(node -> vm.runInNode(node, () -> node.traffic.tickets.handle(call)));
    long timeoutMs = simulation.random.between(100, TIMEOUT_MS);
    simulation.schedule(
        timeoutMs,
        () -> {
          if (pending.getAndSet(false)) {
            sendServiceCall(request, key, ticket, attemptsLeft - 1);
          }
        });
  }

  /**
   * Handles a reply. A reply after the timeout is only observed: the caller has retried by then.
   */
  private void onReply(
      String request,
      String key,
      Optional<String> ticket,
      TicketReply reply,
      Optional<String> issued,
      int attemptsLeft,
      AtomicBoolean pending) {
    simulation.trace(
        () -> "caller %s with ticket %s receives %s".formatted(request, ticket, reply));
    simulation.observe(new Observation.ReplyReceived(request, ticket, reply));
    if (reply instanceof TicketReply.Completed completed) {
      String body = StandardCharsets.UTF_8.decode(completed.response().body()).toString();
      simulation.observe(new Observation.ResponseReceived(request, body));
    }
    boolean wasPending = pending.getAndSet(false);
    if (!wasPending || reply instanceof TicketReply.Completed) {
      return;
    }
    boolean mayUseNewTicket = ticket.isEmpty() || reply.isNotRun();
    if (mayUseNewTicket) {
      sendServiceCall(request, key, issued, attemptsLeft - 1);
    } else if (simulation.random.chance(0.5)) {
      sendServiceCall(request, key, ticket, attemptsLeft - 1);
    }
  }

  /** Sends a request to a model engine, and retries it after each response other than success. */
  private void sendEngineCall(boolean crashes) {
    String fingerprint = (crashes ? "crasher" : "harmless") + requestCount++;
    EngineCall call = new EngineCall(fingerprint, crashes, new AtomicBoolean());
    sendEngineCall(call, MAX_ATTEMPTS);
  }

  private void sendEngineCall(EngineCall call, int attemptsLeft) {
    if (attemptsLeft == 0) {
      return;
    }
    SimulatedVm vm = simulation.random.pick(deployment.vms);
    vm.node()
        .ifPresent(
            node ->
                vm.runInNode(
                    node,
                    () ->
                        node.traffic.suspicion.handle(
                            call, result -> onEngineResult(call, result, attemptsLeft))));
  }

  private void onEngineResult(
      EngineCall call, SuspicionDriver.CallResult result, int attemptsLeft) {
    simulation.trace(() -> "caller %s receives %s".formatted(call.fingerprint(), result));
    boolean retries = result != SuspicionDriver.CallResult.DONE;
    if (retries) {
      simulation.schedule(
          simulation.random.between(1, 300), () -> sendEngineCall(call, attemptsLeft - 1));
    }
  }
}
