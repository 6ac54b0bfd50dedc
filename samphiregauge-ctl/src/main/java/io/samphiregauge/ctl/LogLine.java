package io.samphiregauge.ctl;

import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A log line of an entry: a timestamp, then fields as {@code name=value}.
 *
 * @param time timestamp of the line
 * @param text the whole line
 */
record LogLine(Instant time, String text) {
  /** Parses a line; returns empty if it does not start with a timestamp. */
  static Optional<LogLine> parse(String line) {
    int space = line.indexOf(' ');
    try {
      return space < 0
          ? Optional.empty()
          : Optional.of(new LogLine(Instant.parse(line.substring(0, space)), line));
    } catch (DateTimeParseException e) {
      return Optional.empty();
    }
  }

  String event() {
    return field("event").orElse("");
  }

  /** Returns the value of a field, without the quotes around a value that contains spaces. */
  Optional<String> field(String name) {
    Matcher matcher =
        Pattern.compile(" " + Pattern.quote(name) + "=(?:\"([^\"]*)\"|(\\S*))").matcher(text);
    return matcher.find()
        ? Optional.ofNullable(matcher.group(1)).or(() -> Optional.ofNullable(matcher.group(2)))
        : Optional.empty();
  }
}
