package io.samphiregauge.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiregauge.core.order.Wish;
import io.samphiregauge.schema.order.Drain;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against changes of whole sessions that nobody meant. Each line of a file has the time in
 * milliseconds, who ("--" for a fault), and what. With {@code -Dgolden.write=true} the files are
 * written anew, to be read before they are committed.
 */
class GoldenSessionTest {
  private static final Path FILES = Path.of("src/test/resources/golden");

  @Test
  void leaseHandOver() throws IOException {
    ControlWorld world = new ControlWorld(21);
    world.appendNote("ann", -1, 4);
    Wish wish = new Wish("engine-ann", new Drain("test"), "test");
    for (String vm : List.of("vm1a", "vm2b", "vm3c")) {
      // The order is wanted from the time at which the first holder is gone.
      world.start(
          vm,
          e ->
              e.ordering(
                  (s, now) ->
                      now > 9_000 && s.lastOrderers().isEmpty() ? List.of(wish) : List.of()));
    }
    world.run(7_000);
    String holder = world.fleetHolders().get(0);
    world.fault("pauses " + holder);
    world.paused.add(holder);
    world.run(13_000);
    world.fault("wakes " + holder);
    world.paused.clear();
    world.run(2_000);
    compare("lease-hand-over.txt", world);
  }

  @Test
  void noteRace() throws IOException {
    ControlWorld world = new ControlWorld(22);
    world.appendNote("ann", -1, 4);
    world.start("vm1a");
    world.run(2_000);
    long base = world.get("vm1a").state().noteOffset();
    world.fault("two operators build on offset " + base);
    world.appendNote("bob", base, 2);
    world.appendNote("eve", base, 3);
    world.run(2_000);
    assertThat(world.get("vm1a").state().config().backend("engine-bob")).isPresent();
    assertThat(world.get("vm1a").state().config().backend("engine-eve")).isEmpty();
    compare("note-race.txt", world);
  }

  @Test
  void outageWithARestart() throws IOException {
    ControlWorld world = new ControlWorld(23);
    world.appendNote("ann", -1, 4);
    List.of("vm1a", "vm2b", "vm3c").forEach(world::start);
    world.run(7_000);
    world.fault("log down");
    world.logDown = true;
    world.run(20_000);
    assertThat(world.serving()).isZero();
    world.fault("kills vm2b, which starts anew");
    world.running.remove("vm2b");
    world.start("vm2b");
    world.run(20_000);
    assertThat(world.get("vm2b").state().noteOffset()).isEqualTo(0);
    world.fault("log up");
    world.logDown = false;
    world.run(5_000);
    assertThat(world.serving()).isEqualTo(3);
    compare("outage-with-restart.txt", world);
  }

  private static void compare(String name, ControlWorld world) throws IOException {
    String text = String.join("\n", world.trace) + "\n";
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
