package io.samphiregauge.ctl;

import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A log line of an entry: a time, and fields as {@code name=value}. */
record LogLine(Instant time, String text) {
  /** Reads a line; one that begins with no time belongs to no process's log. */
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

  /** Returns a field's value, without the quotes of one that holds spaces. */
  Optional<String> field(String name) {
    Matcher matcher =
        Pattern.compile(" " + Pattern.quote(name) + "=(?:\"([^\"]*)\"|(\\S*))").matcher(text);
    return matcher.find()
        ? Optional.ofNullable(matcher.group(1)).or(() -> Optional.ofNullable(matcher.group(2)))
        : Optional.empty();
  }
}
