package io.samphiregauge.daemon.traffic;

import io.samphiregauge.core.route.Route;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.LongAdder;

/**
 * Writes one line for each routing decision on a thread of its own, because formatting and output
 * would hold up an event loop. A line that finds the queue full is dropped and counted.
 */
final class DecisionLog implements AutoCloseable {
  private static final Logger LOG = System.getLogger("io.samphiregauge.decisions");
  private static final int MAX_QUEUED_LINES = 16 * 1024;

  private final BlockingQueue<Line> lines = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
  private final LongAdder dropped = new LongAdder();
  private final Thread thread = new Thread(this::run, "decision-log");

  /** A decision, or the end of the log. */
  private record Line(
      String team, String target, Optional<Route> route, int candidates, int attempt, boolean end) {
    static Line ofEnd() {
      return new Line("", "", Optional.empty(), 0, 0, true);
    }
  }

  private DecisionLog() {}

  static DecisionLog start() {
    DecisionLog log = new DecisionLog();
    log.thread.setDaemon(true);
    log.thread.start();
    return log;
  }

  void record(Call call, Optional<Route> route, int candidates, int attempt) {
    if (!LOG.isLoggable(Level.INFO)) {
      return;
    }
    Line line = new Line(call.teamLabel(), call.target(), route, candidates, attempt, false);
    if (!lines.offer(line)) {
      dropped.increment();
    }
  }

  long dropped() {
    return dropped.sum();
  }

  @Override
  public void close() {
    try {
      lines.put(Line.ofEnd());
      thread.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void run() {
    List<Line> batch = new ArrayList<>();
    try {
      while (true) {
        batch.add(lines.take());
        lines.drainTo(batch);
        for (Line line : batch) {
          if (line.end()) {
            return;
          }
          write(line);
        }
        batch.clear();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void write(Line line) {
    String text =
        "event=route team=%s target=%s backend=%s candidates=%d attempt=%d reason=%s"
            .formatted(
                line.team(),
                line.target(),
                line.route().map(route -> route.candidate().backend().getName()).orElse("-"),
                line.candidates(),
                line.attempt(),
                line.route().map(Route::reason).orElse("no_candidate"));
    LOG.log(Level.INFO, text);
  }
}
