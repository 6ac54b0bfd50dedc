package io.samphiregauge.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiregauge.core.order.DesiredChange;
import io.samphiregauge.schema.order.Drain;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against unintended changes of whole sessions. Each line of a golden file contains the time
 * in milliseconds, the actor ("--" for an injected fault) and the action. {@code
 * -Dgolden.write=true} overwrites the files; review them before committing.
 */
class GoldenSessionTest {
  private static final Path FILES = Path.of("src/test/resources/golden");

  @Test
  void leaseHandOver() throws IOException {
    CoordinatorSimulation simulation = new CoordinatorSimulation(21);
    simulation.appendNote("ann", -1, 4);
    DesiredChange change = new DesiredChange("engine-ann", new Drain("test"), "test");
    for (String vm : List.of("vm1a", "vm2b", "vm3c")) {
      // The order is desired from 9 s on, after the first holder was paused at 8 s.
      simulation.start(
          vm,
          config ->
              config.withDesiredChanges(
                  (state, now) ->
                      now > 9_000 && state.lastOrderers().isEmpty() ? List.of(change) : List.of()));
    }
    simulation.runFor(7_000);
    String holder = simulation.fleetHolders().get(0);
    simulation.recordFault("pauses " + holder);
    simulation.pausedVms.add(holder);
    simulation.runFor(13_000);
    simulation.recordFault("wakes " + holder);
    simulation.pausedVms.clear();
    simulation.runFor(2_000);
    assertMatchesGolden("lease-hand-over.txt", simulation);
  }

  @Test
  void noteRace() throws IOException {
    CoordinatorSimulation simulation = new CoordinatorSimulation(22);
    simulation.appendNote("ann", -1, 4);
    simulation.start("vm1a");
    simulation.runFor(2_000);
    long base = simulation.coordinator("vm1a").state().noteOffset();
    simulation.recordFault("two operators build on offset " + base);
    simulation.appendNote("bob", base, 2);
    simulation.appendNote("eve", base, 3);
    simulation.runFor(2_000);
    assertThat(simulation.coordinator("vm1a").state().config().backend("engine-bob")).isPresent();
    assertThat(simulation.coordinator("vm1a").state().config().backend("engine-eve")).isEmpty();
    assertMatchesGolden("note-race.txt", simulation);
  }

  @Test
  void outageWithARestart() throws IOException {
    CoordinatorSimulation simulation = new CoordinatorSimulation(23);
    simulation.appendNote("ann", -1, 4);
    List.of("vm1a", "vm2b", "vm3c").forEach(simulation::start);
    simulation.runFor(7_000);
    simulation.recordFault("log down");
    simulation.logDown = true;
    simulation.runFor(20_000);
    assertThat(simulation.countServing()).isZero();
    simulation.recordFault("kills vm2b, which starts anew");
    simulation.coordinators.remove("vm2b");
    simulation.start("vm2b");
    simulation.runFor(20_000);
    assertThat(simulation.coordinator("vm2b").state().noteOffset()).isEqualTo(0);
    simulation.recordFault("log up");
    simulation.logDown = false;
    simulation.runFor(5_000);
    assertThat(simulation.countServing()).isEqualTo(3);
    assertMatchesGolden("outage-with-restart.txt", simulation);
  }

  private static void assertMatchesGolden(String name, CoordinatorSimulation simulation)
      throws IOException {
    String text = String.join("\n", simulation.trace) + "\n";
    if (Boolean.getBoolean("golden.write")) {
      Files.writeString(FILES.resolve(name), text);
    }
    assertThat(text).isEqualTo(expected(name));
  }

  private static String expected(String name) throws IOException {
    try (InputStream file = GoldenSessionTest.class.getResourceAsStream("/golden/" + name)) {
      assertThat(file).as("golden file %s", name).isNotNull();
      return new String(file.readAllBytes(), StandardCharsets.UTF_8);
    }
  }
}
