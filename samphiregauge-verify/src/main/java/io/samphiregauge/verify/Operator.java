package io.samphiregauge.verify;

import io.samphiregauge.core.config.KeyDigest;
import io.samphiregauge.schema.config.Configuration;
import io.samphiregauge.schema.config.Withdrawal;
import io.samphiregauge.schema.record.Incarnation;
import io.samphiregauge.schema.record.LogRecord;
import io.samphiregauge.schema.record.Note;
import java.util.ArrayList;
import java.util.List;

/** Two operators that issue and withdraw keys at the same time. */
final class Operator {
  /** Time within which a note must be in force, from its place in the log on. */
  private static final long IN_FORCE_MS = 4_000;

  private static final long MEAN_PAUSE_MS = 2_500;
  private static final int MAX_KEYS = 4;

  private final Deployment deployment;
  private final World world;
  private final List<String> valid = new ArrayList<>(List.of(Deployment.FIRST_KEY));
  private final List<String> withdrawn = new ArrayList<>();
  private long sequence = 1;
  private int issued = 1;

  Operator(Deployment deployment) {
    this.deployment = deployment;
    this.world = deployment.world;
  }

  void start() {
    deployment.log.onAcceptedNote(this::accepted);
    next();
    next();
  }

  /** Returns a key that has not been withdrawn. */
  String validKey() {
    return world.random.pick(valid);
  }

  /** Returns a key that may have been withdrawn. */
  String anyKey() {
    return withdrawn.isEmpty() || world.random.chance(0.5)
        ? validKey()
        : withdrawn.get(withdrawn.size() - 1);
  }

  private void next() {
    world.in(
        world.random.between(1, 2 * MEAN_PAUSE_MS),
        () -> {
          apply();
          next();
        });
  }

  /** Both operators build on what they have seen, so some of their notes lose the race. */
  private void apply() {
    List<String> keys = new ArrayList<>(valid);
    String withdrawnKey = "";
    if (keys.size() >= MAX_KEYS) {
      withdrawnKey = keys.remove(0);
    } else {
      keys.add("key-" + issued++);
    }
    Configuration changed =
        new Configuration(List.of(Deployment.team(keys)), List.of(), List.of(), List.of());
    Configuration nothing = new Configuration(List.of(), List.of(), List.of(), List.of());
    Withdrawal none = new Withdrawal(List.of(), List.of(), List.of(), List.of(), List.of());
    Note note = new Note(deployment.log.truth().noteOffset(), withdrawnKey, nothing, changed, none);
    LogRecord entry = new LogRecord(new Incarnation("operator", 0, 0), ++sequence, note);
    deployment.log.append(List.of(entry), stored -> {});
  }

  private void accepted(Note note, long offset) {
    List<String> digests = note.getChanged().getTeams().get(0).getKeyDigests();
    for (String key : List.copyOf(valid)) {
      if (!digests.contains(KeyDigest.of(key))) {
        valid.remove(key);
        withdrawn.add(key);
        world.trace(() -> key + " withdrawn");
        world.observe(new Observation.KeyWithdrawn(key, world.nowMs()));
      }
    }
    for (int number = 0; number < issued; number++) {
      String key = "key-" + number;
      if (digests.contains(KeyDigest.of(key)) && !valid.contains(key)) {
        valid.add(key);
      }
    }
    long sinceMs = world.nowMs();
    world.in(IN_FORCE_MS, () -> checkInForce(offset, sinceMs));
  }

  private void checkInForce(long offset, long sinceMs) {
    for (Vm vm : deployment.vms) {
      if (vm.undisturbedSinceMs() <= sinceMs) {
        vm.running()
            .ifPresent(
                node ->
                    world.observe(
                        new Observation.NoteDue(node.self, offset, node.state().noteOffset())));
      }
    }
  }
}
