package io.samphiregauge.verify;

import io.samphiregauge.core.config.KeyDigest;
import io.samphiregauge.schema.config.Configuration;
import io.samphiregauge.schema.config.Withdrawal;
import io.samphiregauge.schema.record.Incarnation;
import io.samphiregauge.schema.record.LogRecord;
import io.samphiregauge.schema.record.Note;
import java.util.ArrayList;
import java.util.List;

/** Simulates two operators who issue and withdraw keys concurrently. */
final class SimulatedOperators {
  /** Time within which a note must be in force, counted from when the log stored it. */
  private static final long IN_FORCE_MS = 4_000;

  private static final long MEAN_CHANGE_INTERVAL_MS = 2_500;
  private static final int MAX_KEYS = 4;

  private final SimulatedDeployment deployment;
  private final FaultSimulation simulation;
  private final List<String> validKeys = new ArrayList<>(List.of(SimulatedDeployment.FIRST_KEY));
  private final List<String> withdrawnKeys = new ArrayList<>();
  private long sequence = 1;
  private int issuedKeyCount = 1;

  SimulatedOperators(SimulatedDeployment deployment) {
    this.deployment = deployment;
    this.simulation = deployment.simulation;
  }

  void start() {
    deployment.log.onAcceptedNote(this::onNoteAccepted);
    scheduleNextChange();
    scheduleNextChange();
  }

  /** Returns a key that has not been withdrawn. */
  String pickValidKey() {
    return simulation.random.pick(validKeys);
  }

  /** Returns a key that may have been withdrawn. */
  String pickKey() {
    return withdrawnKeys.isEmpty() || simulation.random.chance(0.5)
        ? pickValidKey()
        : withdrawnKeys.get(withdrawnKeys.size() - 1);
  }

  private void scheduleNextChange() {
    simulation.schedule(
        simulation.random.between(1, 2 * MEAN_CHANGE_INTERVAL_MS),
        () -> {
          submitChange();
          scheduleNextChange();
        });
  }

  /**
   * Submits a note based on the newest accepted one; of two concurrent notes the second is
   * rejected.
   */
  private void submitChange() {
    List<String> keys = new ArrayList<>(validKeys);
    String withdrawnKey = "";
    if (keys.size() >= MAX_KEYS) {
      withdrawnKey = keys.remove(0);
    } else {
      keys.add("key-" + issuedKeyCount++);
    }
    Configuration changed =
        new Configuration(List.of(SimulatedDeployment.team(keys)), List.of(), List.of(), List.of());
    Configuration unchanged = new Configuration(List.of(), List.of(), List.of(), List.of());
    Withdrawal none = new Withdrawal(List.of(), List.of(), List.of(), List.of(), List.of());
    Note note =
        new Note(
            deployment.log.authoritativeState().noteOffset(),
            withdrawnKey,
            unchanged,
            changed,
            none);
    LogRecord record = new LogRecord(new Incarnation("operator", 0, 0), ++sequence, note);
    deployment.log.append(List.of(record), stored -> {});
  }

  private void onNoteAccepted(Note note, long offset) {
    List<String> digests = note.getChanged().getTeams().get(0).getKeyDigests();
    for (String key : List.copyOf(validKeys)) {
      if (!digests.contains(KeyDigest.of(key))) {
        validKeys.remove(key);
        withdrawnKeys.add(key);
        simulation.trace(() -> key + " withdrawn");
        simulation.observe(new Observation.KeyWithdrawn(key, simulation.nowMs()));
      }
    }
    for (int number = 0; number < issuedKeyCount; number++) {
      String key = "key-" + number;
      if (digests.contains(KeyDigest.of(key)) && !validKeys.contains(key)) {
        validKeys.add(key);
      }
    }
    long sinceMs = simulation.nowMs();
    simulation.schedule(IN_FORCE_MS, () -> checkInForce(offset, sinceMs));
  }

  private void checkInForce(long offset, long sinceMs) {
    for (SimulatedVm vm : deployment.vms) {
      if (vm.faultFreeSinceMs() <= sinceMs) {
        vm.runningNode()
            .ifPresent(
                node ->
                    simulation.observe(
                        new Observation.NoteDeadline(
                            node.self, offset, node.state().noteOffset())));
      }
    }
  }
}
