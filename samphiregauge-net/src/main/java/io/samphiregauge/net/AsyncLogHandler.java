package io.samphiregauge.net;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.LongAdder;
import java.util.logging.Handler;
import java.util.logging.LogRecord;

/**
 * Writes log lines on a separate thread, so that no other thread blocks on the output. Writes are
 * dropped and counted while the queue is full; the next output then ends with their number.
 */
public final class AsyncLogHandler extends Handler {
  private static final int MAX_QUEUED = 8_192;

  /** Longest wait for the last lines, so that a blocked output does not delay an exit. */
  private static final long CLOSE_WAIT_MS = 200;

  private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(MAX_QUEUED);
  private final LongAdder dropped = new LongAdder();
  private final PrintStream out;
  private final Thread thread = new Thread(this::run, "log");

  /**
   * Starts the writer thread.
   *
   * @param out destination of the lines
   */
  public AsyncLogHandler(PrintStream out) {
    this.out = out;
    setFormatter(new LineFormatter());
    thread.setDaemon(true);
    thread.start();
  }

  /**
   * Queues lines for writing. Thread-safe and non-blocking.
   *
   * @param lines one or more lines, each with its line separator
   */
  public void write(String lines) {
    if (!queue.offer(lines)) {
      dropped.increment();
    }
  }

  /** Returns the number of writes dropped since the last call, and resets it. */
  public long getAndResetDropped() {
    return dropped.sumThenReset();
  }

  @Override
  public void publish(LogRecord logRecord) {
    if (isLoggable(logRecord)) {
      write(getFormatter().format(logRecord));
    }
  }

  @Override
  public void flush() {
    out.flush();
  }

  /** Writes the queued lines and ends the writer thread; waits for it for a short time. */
  @Override
  public void close() {
    thread.interrupt();
    try {
      thread.join(CLOSE_WAIT_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void run() {
    List<String> batch = new ArrayList<>();
    try {
      while (true) {
        batch.add(queue.take());
        queue.drainTo(batch);
        long droppedCount = getAndResetDropped();
        if (droppedCount > 0) {
          batch.add("event=log_lines_dropped count=" + droppedCount + System.lineSeparator());
        }
        out.print(String.join("", batch));
        out.flush();
        batch.clear();
      }
    } catch (InterruptedException e) {
      batch.addAll(queue);
      out.print(String.join("", batch));
      out.flush();
    }
  }
}
