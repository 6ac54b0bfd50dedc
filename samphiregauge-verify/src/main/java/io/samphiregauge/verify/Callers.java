package io.samphiregauge.verify;

import io.samphiregauge.core.ticket.TicketReply;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;

/** Callers: they time out, send requests again, and carry tickets to other entries. */
final class Callers {
  private static final long TIMEOUT_MS = 2_500;
  private static final int MAX_TRIES = 8;

  private final Deployment deployment;
  private final World world;
  private final Operator operator;
  private int requests;

  Callers(Deployment deployment, Operator operator) {
    this.deployment = deployment;
    this.world = deployment.world;
    this.operator = operator;
  }

  void start() {
    repeat(400, this::book);
    repeat(300, () -> generate(false));
    repeat(6_000, () -> generate(true));
    repeat(250, this::read);
  }

  private void repeat(long meanMs, Runnable what) {
    world.in(
        world.random.between(1, 2 * meanMs),
        () -> {
          what.run();
          repeat(meanMs, what);
        });
  }

  /** Sends an idempotent request with a key that may be withdrawn. */
  private void read() {
    Vm entry = world.random.pick(deployment.vms);
    String key = operator.anyKey();
    entry.node().ifPresent(node -> entry.inProcess(node, () -> node.traffic.admits(key)));
  }

  /** Sends a non-idempotent request. */
  private void book() {
    String request = "r" + requests++;
    send(request, operator.validKey(), Optional.empty(), MAX_TRIES);
  }

  private void send(String request, String key, Optional<String> ticket, int tries) {
    if (tries == 0) {
      return;
    }
    AtomicBoolean open = new AtomicBoolean(true);
    ServiceCall call =
        new ServiceCall(
            request,
            key,
            ticket,
            false,
            (reply, issued) ->
                world.in(
                    world.random.between(1, 20),
                    () -> onReply(request, key, ticket, reply, issued, tries, open)));
    Vm entry = world.random.pick(deployment.vms);
    entry.node().ifPresent(node -> entry.inProcess(node, () -> node.traffic.tickets.take(call)));
    long timeoutMs = world.random.between(100, TIMEOUT_MS);
    world.in(
        timeoutMs,
        () -> {
          if (open.getAndSet(false)) {
            send(request, key, ticket, tries - 1);
          }
        });
  }

  /** A late reply counts for the invariants; the caller has sent its request again by then. */
  private void onReply(
      String request,
      String key,
      Optional<String> ticket,
      TicketReply reply,
      Optional<String> issued,
      int tries,
      AtomicBoolean open) {
    world.trace(() -> "caller %s under %s gets %s".formatted(request, ticket, reply));
    world.observe(new Observation.Replied(request, ticket, reply));
    if (reply instanceof TicketReply.Completed answered) {
      String body = StandardCharsets.UTF_8.decode(answered.response().body()).toString();
      world.observe(new Observation.AnswerOf(request, body));
    }
    boolean awaited = open.getAndSet(false);
    if (!awaited || reply instanceof TicketReply.Completed) {
      return;
    }
    boolean mayTakeNewTicket = ticket.isEmpty() || reply.isNotRun();
    if (mayTakeNewTicket) {
      send(request, key, issued, tries - 1);
    } else if (world.random.chance(0.5)) {
      send(request, key, ticket, tries - 1);
    }
  }

  /** Sends a request to a model engine, and again after each answer that it failed. */
  private void generate(boolean crashes) {
    String fingerprint = (crashes ? "crasher" : "harmless") + requests++;
    EngineCall call = new EngineCall(fingerprint, crashes, new AtomicBoolean());
    generate(call, MAX_TRIES);
  }

  private void generate(EngineCall call, int tries) {
    if (tries == 0) {
      return;
    }
    Vm entry = world.random.pick(deployment.vms);
    entry
        .node()
        .ifPresent(
            node ->
                entry.inProcess(
                    node,
                    () ->
                        node.traffic.suspicion.take(
                            call, result -> onResult(call, result, tries))));
  }

  private void onResult(EngineCall call, NodeSuspicion.Result result, int tries) {
    world.trace(() -> "caller %s gets %s".formatted(call.fingerprint(), result));
    boolean again = result != NodeSuspicion.Result.DONE;
    if (again) {
      world.in(world.random.between(1, 300), () -> generate(call, tries - 1));
    }
  }
}
