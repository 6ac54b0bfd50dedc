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

/** The platform's log: ordered records, with outages, lost and late answers and retention. */
final class SimulatedLog {
  /** Few records, so that processes meet the retention within a schedule. */
  static final int RETENTION_RECORDS = 60;

  private static final int PAGE_RECORDS = 50;
  private static final long LONG_POLL_MS = 1_000;
  private static final long MAX_CALL_DELAY_MS = 20;

  /** A read that waits for a record. */
  private record PendingRead(long offset, Runnable sendPage) {}

  private final FaultSimulation simulation;
  private final List<RecordAt> records = new ArrayList<>();
  private final List<PendingRead> pendingReads = new ArrayList<>();
  private final List<BiConsumer<Note, Long>> noteListeners = new ArrayList<>();
  private FoldedState authoritativeState = FoldedState.empty();
  private long nextOffset;
  private boolean down;
  private long lastOutageEndMs;
  private double responseLossProbability;
  private double lateAppendProbability;

  SimulatedLog(FaultSimulation simulation) {
    this.simulation = simulation;
  }

  /** Returns the state that a fold of all records gives. */
  FoldedState authoritativeState() {
    return authoritativeState;
  }

  void onAcceptedNote(BiConsumer<Note, Long> listener) {
    noteListeners.add(listener);
  }

  void setDown(boolean isDown) {
    down = isDown;
    lastOutageEndMs = simulation.nowMs();
  }

  /** Returns when the last outage ended. */
  long lastOutageEndMs() {
    return lastOutageEndMs;
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

  /** Stores records; some of them when the call fails or nobody hears the answer. */
  void append(List<LogRecord> batch, Consumer<Boolean> callback) {
    boolean late = simulation.random.chance(lateAppendProbability);
    long delayMs =
        late
            ? simulation.random.between(500, 8_000)
            : simulation.random.between(1, MAX_CALL_DELAY_MS);
    simulation.schedule(delayMs, () -> handleAppend(batch, callback));
  }

  /** Reads from an offset; the page is empty where nothing arrives for a while. */
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

  /** Stores the first records of a process or an operator without delay. */
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
                    step.rejection().map(f -> f.message()).orElse("accepted")));
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
        records.stream().filter(r -> r.getOffset() >= offset).limit(PAGE_RECORDS).toList();
    return new RecordsPage(first, nextOffset, retained);
  }
}
