package io.samphiregauge.daemon.traffic;

import io.netty.channel.EventLoop;
import io.samphiregauge.core.route.Route;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.Collectors;

/**
 * Writes one line for each routing decision on a thread of its own, because formatting and output
 * would hold up an event loop. Each event loop hands its lines over in batches: waking the thread
 * for each line costs more than the line. A batch that finds the queue full is dropped and counted.
 */
final class DecisionLog implements AutoCloseable {
  private static final Logger LOG = System.getLogger("io.samphiregauge.decisions");
  private static final int MAX_QUEUED_BATCHES = 64;
  private static final int MAX_BATCH_LINES = 256;
  private static final int FLUSH_MS = 50;
  private static final List<Line> END = List.of();

  private final BlockingQueue<List<Line>> batches = new ArrayBlockingQueue<>(MAX_QUEUED_BATCHES);
  private final LongAdder dropped = new LongAdder();
  private final Thread thread = new Thread(this::run, "decision-log");

  /** A decision. */
  private record Line(
      String team, String target, Optional<Route> route, int candidates, int attempt) {}

  private DecisionLog() {}

  static DecisionLog start() {
    DecisionLog log = new DecisionLog();
    log.thread.setDaemon(true);
    log.thread.start();
    return log;
  }

  /** Lines of one event loop that are not handed over yet; only that event loop may use it. */
  final class Lines {
    private final EventLoop loop;
    private List<Line> lines = new ArrayList<>();

    private Lines(EventLoop loop) {
      this.loop = loop;
    }

    void add(Call call, Optional<Route> route, int candidates, int attempt) {
      if (!LOG.isLoggable(Level.INFO)) {
        return;
      }
      lines.add(new Line(call.teamLabel(), call.target(), route, candidates, attempt));
      if (lines.size() == MAX_BATCH_LINES) {
        handOver();
      } else if (lines.size() == 1) {
        loop.schedule(this::handOver, FLUSH_MS, TimeUnit.MILLISECONDS);
      }
    }

    private void handOver() {
      List<Line> batch = lines;
      lines = new ArrayList<>();
      if (!batch.isEmpty() && !batches.offer(batch)) {
        dropped.add(batch.size());
      }
    }
  }

  Lines lines(EventLoop loop) {
    return new Lines(loop);
  }

  long dropped() {
    return dropped.sum();
  }

  @Override
  public void close() {
    try {
      batches.put(END);
      thread.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void run() {
    try {
      for (List<Line> batch = batches.take(); !batch.isEmpty(); batch = batches.take()) {
        LOG.log(
            Level.INFO, batch.stream().map(DecisionLog::text).collect(Collectors.joining("\n")));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static String text(Line line) {
    return "event=route team="
        + line.team()
        + " target="
        + line.target()
        + " backend="
        + line.route().map(route -> route.candidate().backend().getName()).orElse("-")
        + " candidates="
        + line.candidates()
        + " attempt="
        + line.attempt()
        + " reason="
        + line.route().map(Route::reason).orElse("no_candidate");
  }
}
