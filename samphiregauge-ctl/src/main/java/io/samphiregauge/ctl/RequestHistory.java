package io.samphiregauge.ctl;

import static java.util.Map.entry;

import io.samphiregauge.core.result.Failure;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.schema.ctl.Explanation;
import java.io.IOException;
import java.nio.charset.MalformedInputException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/** Reconstructs the history of one request, and the cause of its end, from the logs of entries. */
final class RequestHistory {
  /**
   * State changes of an entry up to this long before a request may have affected it, because
   * servers start within seconds.
   */
  private static final Duration CONTEXT_WINDOW = Duration.ofSeconds(5);

  /** Events about the entry itself, which are context of a request on any backend server. */
  private static final Set<String> STATE_EVENTS =
      Set.of(
          "store_lost",
          "store_regained",
          "topic_history_lost",
          "config_applied",
          "decisions_dropped",
          "started",
          "stopping");

  /** Why an entry ended a request without a complete response of a server, by the logged type. */
  private static final Map<String, String> REFUSAL_REASONS =
      Map.ofEntries(
          entry("no_config", "the entry had no configuration yet"),
          entry("config_stale", "the store had not confirmed the configuration for too long"),
          entry("no_server", "no server of the service was usable"),
          entry("not_connected", "no connection to a server could be opened"),
          entry("server_full", "the servers rejected it"),
          entry("prefill_failed", "its prompt could not be prefilled"),
          entry(
              "crashes_servers",
              "requests with the same prompt part or content crashed their servers"),
          entry("answer_lost", "the server's answer was lost, so it may have run"),
          entry("server_failed", "the server failed it, so it may have run"),
          entry("timeout", "its time was over"));

  private final String id;
  private final List<LogLine> requestLines = new ArrayList<>();
  private final List<LogLine> processLines = new ArrayList<>();

  /** A log file that cannot be read. */
  record UnreadableLog(Path file, String reason) implements Failure {
    @Override
    public String type() {
      return "unreadable_log";
    }

    @Override
    public String message() {
      return "The log %s cannot be read: %s".formatted(file, reason);
    }
  }

  private RequestHistory(String id) {
    this.id = id;
  }

  /**
   * Reads logs and explains a request.
   *
   * @param id identity of the request, as in the field {@code id} of the log lines
   * @param logs log files of entries
   * @return the lines, context and cause of the request, or which file cannot be read
   */
  static Result<Explanation> explain(String id, List<Path> logs) {
    RequestHistory request = new RequestHistory(id);
    for (Path log : logs) {
      try {
        request.addLines(Files.readAllLines(log));
      } catch (MalformedInputException e) {
        return Result.failed(new UnreadableLog(log, "it is not text in UTF-8"));
      } catch (IOException e) {
        return Result.failed(new UnreadableLog(log, e.toString()));
      }
    }
    return Result.success(request.explanation());
  }

  /**
   * Adds the lines of one log. A log without lines of the request is left out, because the state of
   * another entry had no influence on it.
   */
  private void addLines(List<String> lines) {
    List<LogLine> parsed = lines.stream().flatMap(l -> LogLine.parse(l).stream()).toList();
    List<LogLine> matching =
        parsed.stream().filter(line -> line.field("id").filter(id::equals).isPresent()).toList();
    if (!matching.isEmpty()) {
      requestLines.addAll(matching);
      parsed.stream().filter(line -> line.field("id").isEmpty()).forEach(processLines::add);
    }
  }

  private Explanation explanation() {
    requestLines.sort(Comparator.comparing(LogLine::time));
    processLines.sort(Comparator.comparing(LogLine::time));
    return new Explanation(id, cause(), toText(requestLines), toText(context()));
  }

  /**
   * Returns the lines about the state of the request's entry and about its servers shortly before,
   * and those about the block of its traits, which may have begun long before.
   */
  private List<LogLine> context() {
    if (requestLines.isEmpty()) {
      return List.of();
    }
    Set<String> servers = fieldsOfRequest("backend");
    Set<String> blockedTraits = fieldsOfRequest("trait");
    Instant from = requestLines.get(0).time().minus(CONTEXT_WINDOW);
    Instant to = requestLines.get(requestLines.size() - 1).time();
    return processLines.stream()
        .filter(line -> !line.time().isAfter(to))
        .filter(
            line ->
                hasField(line, "trait", blockedTraits)
                    || (!line.time().isBefore(from) && isContext(line, servers)))
        .toList();
  }

  private static boolean isContext(LogLine line, Set<String> servers) {
    return STATE_EVENTS.contains(line.event()) || hasField(line, "backend", servers);
  }

  private static boolean hasField(LogLine line, String name, Set<String> values) {
    return line.field(name).filter(values::contains).isPresent();
  }

  /** Returns the distinct values of a field in the lines of the request. */
  private Set<String> fieldsOfRequest(String name) {
    return requestLines.stream()
        .flatMap(line -> line.field(name).stream())
        .collect(Collectors.toSet());
  }

  private String cause() {
    if (requestLines.isEmpty()) {
      return "The logs hold no line of this request.";
    }
    LogLine last = requestLines.get(requestLines.size() - 1);
    return switch (last.event()) {
      case "answered" ->
          "A server answered it with status %s after %s ms."
              .formatted(last.field("status").orElse("?"), last.field("took_ms").orElse("?"));
      case "refused" ->
          "The entry ended it with status %s, because %s."
              .formatted(last.field("status").orElse("?"), refusalReason(last));
      case "stream_broken" ->
          "Its stream was broken off: %s".formatted(last.field("cause").orElse("cause not logged"));
      case "caller_left" ->
          "The caller left %s."
              .formatted(
                  hasEvent("first_event") ? "after the first event" : "before the first event");
      default ->
          "The logs hold no end of it: its entry ended, or lines were dropped, after event %s."
              .formatted(last.event());
    };
  }

  private String refusalReason(LogLine line) {
    String type = line.field("type").orElse("?");
    String reason = Optional.ofNullable(REFUSAL_REASONS.get(type)).orElse(type);
    return line.field("trait")
        .map(
            trait ->
                "%s (%s; the next one may be tried after %s ms)"
                    .formatted(reason, trait, line.field("retry_after_ms").orElse("?")))
        .orElse(reason);
  }

  private boolean hasEvent(String event) {
    return requestLines.stream().anyMatch(line -> line.event().equals(event));
  }

  private static List<String> toText(List<LogLine> lines) {
    return lines.stream().map(LogLine::text).toList();
  }
}
