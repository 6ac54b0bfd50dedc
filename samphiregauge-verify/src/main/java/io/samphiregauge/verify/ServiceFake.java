package io.samphiregauge.verify;

import java.util.function.Consumer;

/** A plain service whose calls must not be repeated; its answers may be lost. */
final class ServiceFake {
  final String name;
  private final World world;
  private boolean up = true;
  private double lostAnswers;

  ServiceFake(String name, World world) {
    this.name = name;
    this.world = world;
  }

  /** Tells whether a connection can be opened. */
  boolean isUp() {
    return up;
  }

  void setUp(boolean isUp) {
    up = isUp;
  }

  void setLostAnswers(double probability) {
    lostAnswers = probability;
  }

  /** Runs a request that was written to it; the answer is the name of the request. */
  void write(String request, String ticket, Consumer<String> answer) {
    world.in(
        world.random.between(1, 200),
        () -> {
          if (!up) {
            return;
          }
          world.trace(() -> "%s runs %s under %s".formatted(name, request, ticket));
          world.observe(new Observation.Ran(request, ticket));
          if (!world.random.chance(lostAnswers)) {
            world.in(world.random.between(1, 100), () -> answer.accept(request));
          }
        });
  }
}
