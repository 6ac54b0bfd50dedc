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
  private static final int FLUSH_INTERVAL_MS = 50;
  private static final List<Decision> END_MARKER = List.of();

  private final BlockingQueue<List<Decision>> batches =
      new ArrayBlockingQueue<>(MAX_QUEUED_BATCHES);
  private final LongAdder dropped = new LongAdder();
  private final Thread thread = new Thread(this::run, "decision-log");

  /** A decision. */
  private record Decision(
      String team, String target, Optional<Route> route, int candidates, int attempt) {}

  private DecisionLog() {}

  static DecisionLog start() {
    DecisionLog log = new DecisionLog();
    log.thread.setDaemon(true);
    log.thread.start();
    return log;
  }

  /** Lines of one event loop that are not handed over yet; only that event loop may use it. */
  final class DecisionBuffer {
    private final EventLoop loop;
    private List<Decision> decisions = new ArrayList<>();

    private DecisionBuffer(EventLoop loop) {
      this.loop = loop;
    }

    void add(BackendCall call, Optional<Route> route, int candidates, int attempt) {
      if (!LOG.isLoggable(Level.INFO)) {
        return;
      }
      decisions.add(new Decision(call.teamLabel(), call.target(), route, candidates, attempt));
      if (decisions.size() == MAX_BATCH_LINES) {
        flush();
      } else if (decisions.size() == 1) {
        loop.schedule(this::flush, FLUSH_INTERVAL_MS, TimeUnit.MILLISECONDS);
      }
    }

    private void flush() {
      List<Decision> batch = decisions;
      decisions = new ArrayList<>();
      if (!batch.isEmpty() && !batches.offer(batch)) {
        dropped.add(batch.size());
      }
    }
  }

  DecisionBuffer newBuffer(EventLoop loop) {
    return new DecisionBuffer(loop);
  }

  long dropped() {
    return dropped.sum();
  }

  @Override
  public void close() {
    try {
      batches.put(END_MARKER);
      thread.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void run() {
    try {
      for (List<Decision> batch = batches.take(); !batch.isEmpty(); batch = batches.take()) {
        LOG.log(
            Level.INFO, batch.stream().map(DecisionLog::format).collect(Collectors.joining("\n")));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static String format(Decision line) {
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
