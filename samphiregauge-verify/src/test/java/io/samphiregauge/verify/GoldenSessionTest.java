package io.samphiregauge.verify;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiregauge.core.ticket.TicketReply;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.Test;

/** Compares whole sessions of callers with reviewed golden files. */
class GoldenSessionTest {
  private static final Path GOLDEN_DIRECTORY = Path.of("src/test/resources/golden");

  private final List<String> lines = new ArrayList<>();
  private final FaultSimulation simulation =
      new FaultSimulation(7, FaultSchedule.INVARIANTS, Optional.empty());
  private final SimulatedDeployment deployment =
      new SimulatedDeployment(simulation, withoutPauses());
  private final List<String> tickets = new ArrayList<>();

  /** Disables random pauses, which would make the session depend on the random numbers drawn. */
  private static InjectionPoints withoutPauses() {
    InjectionPoints injectionPoints = new InjectionPoints();
    injectionPoints.pauseBeforeWriteProbability = 0;
    return injectionPoints;
  }

  /** A process may have run a request before it terminated, so a repeat must not run it again. */
  @Test
  void ticketOfEndedIncarnationIsNotRunAgain() throws IOException {
    schedule(3_000, () -> sendServiceCall("r1", 0, Optional.empty()));
    schedule(3_100, () -> sendServiceCall("r1", 1, Optional.of(0)));
    schedule(3_600, () -> sendServiceCall("r1", 2, Optional.of(0)));
    schedule(4_000, () -> sendServiceCall("r2", 0, Optional.empty()));
    schedule(4_100, () -> recordAndRun("vm0 killed", () -> deployment.vms.get(0).restart()));
    schedule(4_110, () -> sendServiceCall("r2", 1, Optional.of(1)));
    schedule(7_000, () -> sendServiceCall("r2", 0, Optional.of(1)));
    schedule(7_100, () -> sendServiceCall("r1", 3, Optional.of(0)));
    assertMatchesGoldenFile("ticket-owner-ended.txt");
  }

  /**
   * Guards against a third crash by one request, and against blocking a request that ran next to
   * it.
   */
  @Test
  void crashingRequestIsBlockedButItsNeighbourRuns() throws IOException {
    deployment.engines.subList(1, 4).forEach(engine -> engine.crash("not part of the session"));
    EngineCall crasher = new EngineCall("crasher", true, new AtomicBoolean());
    EngineCall neighbour = new EngineCall("neighbour", false, new AtomicBoolean());
    schedule(500, () -> sendEngineCall(neighbour, 0));
    schedule(510, () -> sendEngineCall(crasher, 0));
    schedule(2_000, () -> sendEngineCall(crasher, 1));
    schedule(4_000, () -> sendEngineCall(neighbour, 2));
    schedule(4_010, () -> sendEngineCall(crasher, 2));
    schedule(8_000, () -> sendEngineCall(neighbour, 3));
    assertMatchesGoldenFile("crashing-request.txt");
  }

  private void schedule(long atMs, Runnable task) {
    simulation.schedule(atMs, task);
  }

  private void recordAndRun(String line, Runnable task) {
    lines.add(line);
    task.run();
  }

  private void sendServiceCall(String request, int vmIndex, Optional<Integer> ticket) {
    String ticketText = ticket.map(number -> "ticket " + number).orElse("no ticket");
    lines.add("caller sends %s under %s to vm%d".formatted(request, ticketText, vmIndex));
    BiConsumer<TicketReply, Optional<String>> callback =
        (reply, issued) -> {
          issued.ifPresent(tickets::add);
          lines.add("caller is told of %s: %s".formatted(request, replyText(reply)));
        };
    ServiceCall call =
        new ServiceCall(
            request, SimulatedDeployment.FIRST_KEY, ticket.map(tickets::get), false, callback);
    deployment.vms.get(vmIndex).node().orElseThrow().traffic.tickets.handle(call);
  }

  private static String replyText(TicketReply reply) {
    return reply instanceof TicketReply.Refused refused
        ? refused.reason().type() + ", " + refused.outcome()
        : "the answer";
  }

  private void sendEngineCall(EngineCall call, int vmIndex) {
    lines.add("caller sends %s to vm%d".formatted(call.fingerprint(), vmIndex));
    deployment
        .vms
        .get(vmIndex)
        .node()
        .orElseThrow()
        .traffic
        .suspicion
        .handle(
            call,
            result -> lines.add("caller is told of %s: %s".formatted(call.fingerprint(), result)));
  }

  private void assertMatchesGoldenFile(String file) throws IOException {
    deployment.start();
    assertThat(simulation.run(12_000, deployment::observeRoleHolders)).isEmpty();
    assertThat(lines).containsExactlyElementsOf(Files.readAllLines(GOLDEN_DIRECTORY.resolve(file)));
  }
}
