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
final class LogFake {
  /** Few records, so that processes meet the retention within a schedule. */
  static final int RETENTION_RECORDS = 60;

  private static final int PAGE_RECORDS = 50;
  private static final long POLL_MS = 1_000;
  private static final long CALL_MS = 20;

  /** A read that waits for a record. */
  private record Poll(long offset, Runnable answer) {}

  private final World world;
  private final List<RecordAt> records = new ArrayList<>();
  private final List<Poll> polls = new ArrayList<>();
  private final List<BiConsumer<Note, Long>> noteListeners = new ArrayList<>();
  private FoldedState truth = FoldedState.empty();
  private long nextOffset;
  private boolean down;
  private long upSinceMs;
  private double lostAnswers;
  private double lateAppends;

  LogFake(World world) {
    this.world = world;
  }

  /** Returns the state that a fold of all records gives. */
  FoldedState truth() {
    return truth;
  }

  void onAcceptedNote(BiConsumer<Note, Long> listener) {
    noteListeners.add(listener);
  }

  void setDown(boolean isDown) {
    down = isDown;
    upSinceMs = world.nowMs();
  }

  /** Returns when the last outage ended. */
  long upSinceMs() {
    return upSinceMs;
  }

  boolean isDown() {
    return down;
  }

  void setLostAnswers(double probability) {
    lostAnswers = probability;
  }

  void setLateAppends(double probability) {
    lateAppends = probability;
  }

  /** Stores records; some of them when the call fails or nobody hears the answer. */
  void append(List<LogRecord> entries, Consumer<Boolean> answer) {
    boolean late = world.random.chance(lateAppends);
    long delayMs = late ? world.random.between(500, 8_000) : world.random.between(1, CALL_MS);
    world.in(delayMs, () -> store(entries, answer));
  }

  /** Reads from an offset; the page is empty where nothing arrives for a while. */
  void read(long offset, Consumer<RecordsPage> answer) {
    world.in(
        world.random.between(1, CALL_MS),
        () -> {
          if (down) {
            return;
          }
          Runnable page =
              () -> world.in(world.random.between(1, CALL_MS), () -> answer.accept(page(offset)));
          if (offset < nextOffset) {
            page.run();
            return;
          }
          Poll poll = new Poll(offset, page);
          polls.add(poll);
          world.in(POLL_MS, () -> finish(poll));
        });
  }

  /** Stores the first records of a process or an operator without delay. */
  void seed(LogRecord entry) {
    put(entry);
  }

  private void finish(Poll poll) {
    if (polls.remove(poll) && !down) {
      poll.answer().run();
    }
  }

  private void store(List<LogRecord> entries, Consumer<Boolean> answer) {
    if (down) {
      if (world.random.chance(0.5)) {
        world.in(CALL_MS, () -> answer.accept(false));
      }
      return;
    }
    boolean whole = !world.random.chance(lostAnswers / 4);
    int count = whole ? entries.size() : world.random.nextIndex(entries.size() + 1);
    entries.subList(0, count).forEach(this::put);
    if (!world.random.chance(lostAnswers)) {
      world.in(world.random.between(1, CALL_MS), () -> answer.accept(whole));
    }
  }

  private void put(LogRecord entry) {
    long offset = nextOffset++;
    records.add(new RecordAt(offset, entry));
    FoldStep step = Fold.apply(truth, offset, entry);
    truth = step.state();
    world.trace(
        () ->
            "log %d %s/%d %s %s"
                .formatted(
                    offset,
                    entry.getWriter().getVm() + "#" + entry.getWriter().getStartMs(),
                    entry.getSequence(),
                    entry.getBody().getClass().getSimpleName(),
                    step.rejection().map(f -> f.message()).orElse("accepted")));
    if (records.size() > RETENTION_RECORDS) {
      records.remove(0);
    }
    if (step.accepted() && entry.getBody() instanceof Note note) {
      noteListeners.forEach(listener -> listener.accept(note, offset));
    }
    List<Poll> waiting = new ArrayList<>(polls);
    polls.clear();
    waiting.forEach(poll -> poll.answer().run());
  }

  private RecordsPage page(long offset) {
    long first = nextOffset - records.size();
    List<RecordAt> found =
        records.stream().filter(r -> r.getOffset() >= offset).limit(PAGE_RECORDS).toList();
    return new RecordsPage(first, nextOffset, found);
  }
}
