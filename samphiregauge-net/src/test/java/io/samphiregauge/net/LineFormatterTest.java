package io.samphiregauge.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Guards against log records that spread over several lines or forge another record. */
class LineFormatterTest {
  @Test
  void writesTimeLevelLoggerAndMessage() {
    LogRecord entry = entry("event=route team=t1");
    entry.setInstant(Instant.parse("2026-01-02T03:04:05.006Z"));
    assertThat(new LineFormatter().format(entry))
        .isEqualTo("2026-01-02T03:04:05.006Z level=INFO logger=io.x event=route team=t1\n");
  }

  @Test
  void keepsAStackTraceOnTheLine() {
    LogRecord entry = entry("event=failed");
    entry.setThrown(new IllegalStateException("why"));
    String line = new LineFormatter().format(entry);
    assertThat(line.lines()).hasSize(1);
    assertThat(line).contains("exception=\"java.lang.IllegalStateException: why\\n");
  }

  @Property(seed = "17")
  void writesOneLineForAnyMessage(@ForAll String message) {
    assertThat(new LineFormatter().format(entry(message)).chars().filter(c -> c == '\n').count())
        .isEqualTo(1);
  }

  private static LogRecord entry(String message) {
    LogRecord entry = new LogRecord(Level.INFO, message);
    entry.setLoggerName("io.x");
    return entry;
  }
}
