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
 * Logs one line for each routing decision on a dedicated thread, because formatting and output
 * would block an event loop. Each event loop submits its decisions in batches, since waking the
 * thread for each line costs more than writing it. A batch is dropped and counted if the queue is
 * full.
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

  /** A routing decision; without a route if there was no candidate. */
  private record Decision(
      String team, String target, Optional<Route> route, int candidates, int attempt) {}

  private DecisionLog() {}

  static DecisionLog start() {
    DecisionLog log = new DecisionLog();
    log.thread.setDaemon(true);
    log.thread.start();
    return log;
  }

  /** Buffers the decisions of one event loop until the next batch; confined to that event loop. */
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

  private static String format(Decision decision) {
    return "event=route team="
        + decision.team()
        + " target="
        + decision.target()
        + " backend="
        + decision.route().map(route -> route.candidate().backend().getName()).orElse("-")
        + " candidates="
        + decision.candidates()
        + " attempt="
        + decision.attempt()
        + " reason="
        + decision.route().map(Route::reason).orElse("no_candidate");
  }
}
