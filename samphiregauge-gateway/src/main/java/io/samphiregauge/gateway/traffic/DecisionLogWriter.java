package io.samphiregauge.gateway.traffic;

import io.netty.channel.EventLoop;
import io.samphiregauge.net.AsyncLogHandler;
import java.time.Instant;
import java.util.concurrent.TimeUnit;

/**
 * Writes a log line for each decision on a request. Lines are passed to the log in batches, because
 * waking its thread costs more than a line. Confined to one event loop.
 */
final class DecisionLogWriter {
  private static final int FLUSH_DELAY_MS = 100;

  /** Maximum lines per batch; further ones are only counted, to bound the volume under load. */
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
   * Adds a line to the batch.
   *
   * @param event name of the decision
   * @param id identifier of the caller's attempt
   * @param fields further fields, as {@code name=value}, separated by spaces
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
