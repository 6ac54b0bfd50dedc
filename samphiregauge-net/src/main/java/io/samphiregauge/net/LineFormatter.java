package io.samphiregauge.net;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.Optional;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/**
 * Formats each log record as exactly one line, whatever its message contains. The file {@code
 * config/logging.properties} refers to this class by name.
 */
public final class LineFormatter extends Formatter {
  private static final DateTimeFormatter TIME =
      DateTimeFormatter.ofPattern("uuuu-MM-dd'T'HH:mm:ss.SSS'Z'").withZone(ZoneOffset.UTC);

  @Override
  public String format(LogRecord logRecord) {
    StringBuilder line = new StringBuilder();
    line.append(TIME.format(logRecord.getInstant()))
        .append(" level=")
        .append(logRecord.getLevel())
        .append(" logger=")
        .append(logRecord.getLoggerName())
        .append(' ');
    appendEscaped(line, formatMessage(logRecord));
    Optional.ofNullable(logRecord.getThrown())
        .ifPresent(
            thrown -> {
              line.append(" exception=\"");
              appendEscaped(line, stackTrace(thrown));
              line.append('"');
            });
    return line.append(System.lineSeparator()).toString();
  }

  /**
   * Appends text on one line, because line breaks in input from callers could forge log records.
   * Escapes line breaks and tabs, and replaces other control characters by question marks.
   */
  private static void appendEscaped(StringBuilder line, String text) {
    for (int i = 0; i < text.length(); i++) {
      char c = text.charAt(i);
      switch (c) {
        case '\n' -> line.append("\\n");
        case '\r' -> line.append("\\r");
        case '\t' -> line.append("\\t");
        default -> line.append(Character.isISOControl(c) ? '?' : c);
      }
    }
  }

  private static String stackTrace(Throwable thrown) {
    StringWriter text = new StringWriter();
    thrown.printStackTrace(new PrintWriter(text));
    return text.toString().strip();
  }
}
