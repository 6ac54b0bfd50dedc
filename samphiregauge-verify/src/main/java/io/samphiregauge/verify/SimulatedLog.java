package io.samphiregauge.verify;

import io.samphiregauge.core.log.Fold;
import io.samphiregauge.core.log.FoldStep;
import io.samphiregauge.core.log.FoldedState;
import io.samphiregauge.schema.peer.RecordAt;
import io.samphiregauge.schema.platform.RecordsPage;
import io.samphiregauge.schema.record.LogRecord;
import io.samphiregauge.schema.record.Note;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Simulates the platform's log of ordered records, with outages, lost responses, late appends and
 * retention.
 */
final class SimulatedLog {
  /** Small enough that processes fall behind the retained records within a schedule. */
  static final int RETENTION_RECORDS = 60;

  private static final int PAGE_RECORDS = 50;
  private static final long LONG_POLL_MS = 1_000;
  private static final long MAX_CALL_DELAY_MS = 20;

  /** A long-polling read that waits for the next record. */
  private record PendingRead(long offset, Runnable sendPage) {}

  private final FaultSimulation simulation;
  private final List<RecordAt> records = new ArrayList<>();
  private final List<PendingRead> pendingReads = new ArrayList<>();
  private final List<BiConsumer<Note, Long>> noteListeners = new ArrayList<>();
  private FoldedState authoritativeState = FoldedState.empty();
  private long nextOffset;
  private boolean down;
  private long lastStateChangeMs;
  private double responseLossProbability;
  private double lateAppendProbability;

  SimulatedLog(FaultSimulation simulation) {
    this.simulation = simulation;
  }

  /** Returns the state folded from all records ever stored. */
  FoldedState authoritativeState() {
    return authoritativeState;
  }

  void onAcceptedNote(BiConsumer<Note, Long> listener) {
    noteListeners.add(listener);
  }

  void setDown(boolean isDown) {
    down = isDown;
    lastStateChangeMs = simulation.nowMs();
  }

  /** Returns the virtual time at which the log last went down or came back up. */
  long lastStateChangeMs() {
    return lastStateChangeMs;
  }

  boolean isDown() {
    return down;
  }

  void setResponseLossProbability(double probability) {
    responseLossProbability = probability;
  }

  void setLateAppendProbability(double probability) {
    lateAppendProbability = probability;
  }

  /**
   * Stores a batch of records. A call that fails may have stored the first records of the batch,
   * and one whose response is lost may have stored any number of them.
   */
  void append(List<LogRecord> batch, Consumer<Boolean> callback) {
    boolean late = simulation.random.chance(lateAppendProbability);
    long delayMs =
        late
            ? simulation.random.between(500, 8_000)
            : simulation.random.between(1, MAX_CALL_DELAY_MS);
    simulation.schedule(delayMs, () -> handleAppend(batch, callback));
  }

  /**
   * Reads from an offset; the page is empty if no record arrives before the long poll times out.
   */
  void read(long offset, Consumer<RecordsPage> callback) {
    simulation.schedule(
        simulation.random.between(1, MAX_CALL_DELAY_MS),
        () -> {
          if (down) {
            return;
          }
          Runnable sendPage =
              () ->
                  simulation.schedule(
                      simulation.random.between(1, MAX_CALL_DELAY_MS),
                      () -> callback.accept(page(offset)));
          if (offset < nextOffset) {
            sendPage.run();
            return;
          }
          PendingRead pendingRead = new PendingRead(offset, sendPage);
          pendingReads.add(pendingRead);
          simulation.schedule(LONG_POLL_MS, () -> completeOnTimeout(pendingRead));
        });
  }

  /** Stores a record without delay, before the processes start. */
  void appendImmediately(LogRecord record) {
    store(record);
  }

  private void completeOnTimeout(PendingRead pendingRead) {
    if (pendingReads.remove(pendingRead) && !down) {
      pendingRead.sendPage().run();
    }
  }

  private void handleAppend(List<LogRecord> batch, Consumer<Boolean> callback) {
    if (down) {
      if (simulation.random.chance(0.5)) {
        simulation.schedule(MAX_CALL_DELAY_MS, () -> callback.accept(false));
      }
      return;
    }
    boolean complete = !simulation.random.chance(responseLossProbability / 4);
    int count = complete ? batch.size() : simulation.random.nextIndex(batch.size() + 1);
    batch.subList(0, count).forEach(this::store);
    if (!simulation.random.chance(responseLossProbability)) {
      simulation.schedule(
          simulation.random.between(1, MAX_CALL_DELAY_MS), () -> callback.accept(complete));
    }
  }

  private void store(LogRecord record) {
    long offset = nextOffset++;
    records.add(new RecordAt(offset, record));
    FoldStep step = Fold.apply(authoritativeState, offset, record);
    authoritativeState = step.state();
    simulation.trace(
        () ->
            "log %d %s/%d %s %s"
                .formatted(
                    offset,
                    record.getWriter().getVm() + "#" + record.getWriter().getStartMs(),
                    record.getSequence(),
                    record.getBody().getClass().getSimpleName(),
                    step.rejection().map(failure -> failure.message()).orElse("accepted")));
    if (records.size() > RETENTION_RECORDS) {
      records.remove(0);
    }
    if (step.accepted() && record.getBody() instanceof Note note) {
      noteListeners.forEach(listener -> listener.accept(note, offset));
    }
    List<PendingRead> released = new ArrayList<>(pendingReads);
    pendingReads.clear();
    released.forEach(pendingRead -> pendingRead.sendPage().run());
  }

  private RecordsPage page(long offset) {
    long first = nextOffset - records.size();
    List<RecordAt> retained =
        records.stream()
            .filter(record -> record.getOffset() >= offset)
            .limit(PAGE_RECORDS)
            .toList();
    return new RecordsPage(first, nextOffset, retained);
  }
}
