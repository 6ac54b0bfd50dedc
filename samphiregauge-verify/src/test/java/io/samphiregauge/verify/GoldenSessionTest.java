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

/** Compares whole sessions with the files that were read and agreed on. */
class GoldenSessionTest {
  private static final Path FILES = Path.of("src/test/resources/golden");

  private final List<String> lines = new ArrayList<>();
  private final World world = new World(7, Schedule.INVARIANTS, Optional.empty());
  private final Deployment deployment = new Deployment(world, withoutPauses());
  private final List<String> tickets = new ArrayList<>();

  /** A pause that is drawn would be part of the session by chance. */
  private static Seams withoutPauses() {
    Seams seams = new Seams();
    seams.pauseBeforeWrite = 0;
    return seams;
  }

  /** Guards against a second run of a request whose process has ended. */
  @Test
  void ticketWhoseIncarnationEnded() throws IOException {
    at(3_000, () -> book("r1", 0, Optional.empty()));
    at(3_100, () -> book("r1", 1, Optional.of(0)));
    at(3_600, () -> book("r1", 2, Optional.of(0)));
    at(4_000, () -> book("r2", 0, Optional.empty()));
    at(4_100, () -> say("vm0 killed", () -> deployment.vms.get(0).restart()));
    at(4_110, () -> book("r2", 1, Optional.of(1)));
    at(7_000, () -> book("r2", 0, Optional.of(1)));
    at(7_100, () -> book("r1", 3, Optional.of(0)));
    compare("ticket-owner-ended.txt");
  }

  /** Guards against a third crash by one request, and against refusing its neighbour. */
  @Test
  void requestThatCrashesEngines() throws IOException {
    deployment.engines.subList(1, 4).forEach(engine -> engine.crash("not part of the session"));
    EngineCall crasher = new EngineCall("crasher", true, new AtomicBoolean());
    EngineCall neighbour = new EngineCall("neighbour", false, new AtomicBoolean());
    at(500, () -> generate(neighbour, 0));
    at(510, () -> generate(crasher, 0));
    at(2_000, () -> generate(crasher, 1));
    at(4_000, () -> generate(neighbour, 2));
    at(4_010, () -> generate(crasher, 2));
    at(8_000, () -> generate(neighbour, 3));
    compare("crashing-request.txt");
  }

  private void at(long atMs, Runnable what) {
    world.in(atMs, what);
  }

  private void say(String line, Runnable what) {
    lines.add(line);
    what.run();
  }

  private void book(String request, int entry, Optional<Integer> ticket) {
    String under = ticket.map(number -> "ticket " + number).orElse("no ticket");
    lines.add("caller sends %s under %s to vm%d".formatted(request, under, entry));
    BiConsumer<TicketReply, Optional<String>> answer =
        (reply, issued) -> {
          issued.ifPresent(tickets::add);
          lines.add("caller is told of %s: %s".formatted(request, text(reply)));
        };
    ServiceCall call =
        new ServiceCall(request, Deployment.FIRST_KEY, ticket.map(tickets::get), false, answer);
    deployment.vms.get(entry).node().orElseThrow().traffic.tickets.take(call);
  }

  private static String text(TicketReply reply) {
    return reply instanceof TicketReply.Refused refused
        ? refused.reason().type() + ", " + refused.outcome()
        : "the answer";
  }

  private void generate(EngineCall call, int entry) {
    lines.add("caller sends %s to vm%d".formatted(call.fingerprint(), entry));
    deployment
        .vms
        .get(entry)
        .node()
        .orElseThrow()
        .traffic
        .suspicion
        .take(
            call,
            result -> lines.add("caller is told of %s: %s".formatted(call.fingerprint(), result)));
  }

  private void compare(String file) throws IOException {
    deployment.start();
    assertThat(world.run(12_000, deployment::observeHolders)).isEmpty();
    assertThat(lines).containsExactlyElementsOf(Files.readAllLines(FILES.resolve(file)));
  }
}
