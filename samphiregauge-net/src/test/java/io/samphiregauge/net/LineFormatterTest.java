package io.samphiregauge.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Guards against messages with line breaks, which would split a log record or forge another. */
class LineFormatterTest {
  @Test
  void writesTimeLevelLoggerAndMessage() {
    LogRecord logRecord = logRecord("event=route team=t1");
    logRecord.setInstant(Instant.parse("2026-01-02T03:04:05.006Z"));
    assertThat(new LineFormatter().format(logRecord))
        .isEqualTo("2026-01-02T03:04:05.006Z level=INFO logger=io.x event=route team=t1\n");
  }

  @Test
  void writesStackTraceOnTheSameLine() {
    LogRecord logRecord = logRecord("event=failed");
    logRecord.setThrown(new IllegalStateException("why"));
    String line = new LineFormatter().format(logRecord);
    assertThat(line.lines()).hasSize(1);
    assertThat(line).contains("exception=\"java.lang.IllegalStateException: why\\n");
  }

  @Property(seed = "17")
  void writesOneLineForAnyMessage(@ForAll String message) {
    assertThat(
            new LineFormatter().format(logRecord(message)).chars().filter(c -> c == '\n').count())
        .isEqualTo(1);
  }

  private static LogRecord logRecord(String message) {
    LogRecord logRecord = new LogRecord(Level.INFO, message);
    logRecord.setLoggerName("io.x");
    return logRecord;
  }
}
