package io.samphiregauge.gateway.traffic;

import io.netty.channel.EventLoop;
import io.samphiregauge.net.AsyncLogHandler;
import java.time.Instant;
import java.util.concurrent.TimeUnit;

/**
 * One line for each decision on a request. Lines are handed to the log in batches, because waking
 * its thread costs more than a line. Used by one event loop.
 */
final class DecisionLogWriter {
  private static final int FLUSH_DELAY_MS = 100;

  /** Lines of one batch; more are counted and not written, which bounds the volume under load. */
  private static final int MAX_BATCH_LINES = 200;

  private final EventLoop eventLoop;
  private final AsyncLogHandler log;
  private final StringBuilder batch = new StringBuilder();
  private int lineCount;

  DecisionLogWriter(EventLoop eventLoop, AsyncLogHandler log) {
    this.eventLoop = eventLoop;
    this.log = log;
  }

  /**
   * Writes a line.
   *
   * @param event what was decided
   * @param id identifier of the caller's try
   * @param fields further fields, as {@code name=value}
   */
  void add(String event, String id, String fields) {
    if (lineCount == 0) {
      eventLoop.schedule(this::flush, FLUSH_DELAY_MS, TimeUnit.MILLISECONDS);
    }
    lineCount++;
    if (lineCount <= MAX_BATCH_LINES) {
      batch
          .append(Instant.ofEpochMilli(System.currentTimeMillis()))
          .append(" event=")
          .append(event)
          .append(" id=")
          .append(id)
          .append(' ')
          .append(fields)
          .append('\n');
    }
  }

  private void flush() {
    if (lineCount > MAX_BATCH_LINES) {
      batch
          .append("event=decisions_dropped count=")
          .append(lineCount - MAX_BATCH_LINES)
          .append('\n');
    }
    log.write(batch.toString());
    batch.setLength(0);
    lineCount = 0;
  }
}
