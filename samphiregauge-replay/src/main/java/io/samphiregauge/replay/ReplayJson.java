package io.samphiregauge.replay;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.schema.replay.ReplaySettings;
import io.samphiregauge.schema.replay.TraceEvent;
import io.samphiregauge.schema.replay.TraceRequest;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Reads and writes traces as JSON lines, and settings and reports as JSON. */
final class ReplayJson {
  static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .addModule(new Jdk8Module())
          .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
          .build();

  private static final String EVENT_FIELD = "event";
  private static final String TRACE_EXTENSION = ".jsonl";

  private ReplayJson() {}

  /** Reads a trace, which is named after its file. */
  static Result<Trace> readTrace(Path file) {
    try {
      return parseTrace(traceName(file), file.toString(), Files.readAllLines(file));
    } catch (IOException e) {
      return Result.failed(new ReplayFailure.FileUnusable(file.toString(), e.toString()));
    }
  }

  /**
   * Parses a trace.
   *
   * @param name name of the trace
   * @param file file for error messages
   * @param lines requests and events in any order; blank lines are skipped
   * @return the trace, sorted by time, or the first malformed line
   */
  static Result<Trace> parseTrace(String name, String file, List<String> lines) {
    List<TraceRequest> requests = new ArrayList<>();
    List<TraceEvent> events = new ArrayList<>();
    for (int i = 0; i < lines.size(); i++) {
      if (lines.get(i).isBlank()) {
        continue;
      }
      try {
        JsonNode tree = MAPPER.readTree(lines.get(i));
        if (tree.has(EVENT_FIELD)) {
          events.add(MAPPER.treeToValue(tree, TraceEvent.class));
        } else {
          requests.add(requireValid(MAPPER.treeToValue(tree, TraceRequest.class)));
        }
      } catch (JsonProcessingException | IllegalArgumentException e) {
        return Result.failed(new ReplayFailure.Malformed(file, i + 1, firstMessageLine(e)));
      }
    }
    requests.sort(Comparator.comparingLong(TraceRequest::getAtMs));
    events.sort(Comparator.comparingLong(TraceEvent::getAtMs));
    return Result.success(new Trace(name, requests, events));
  }

  /** Reads settings from a JSON file, which may have comments. */
  static Result<ReplaySettings> readSettings(Path file) {
    try {
      return Result.success(MAPPER.readValue(Files.readAllBytes(file), ReplaySettings.class));
    } catch (JsonProcessingException e) {
      return Result.failed(new ReplayFailure.Malformed(file.toString(), 0, firstMessageLine(e)));
    } catch (IOException e) {
      return Result.failed(new ReplayFailure.FileUnusable(file.toString(), e.toString()));
    }
  }

  /** Reads the settings of a deployment from the resources of this package. */
  static Result<ReplaySettings> builtInSettings(String deployment) {
    String resource = deployment + ".json";
    try (InputStream in = ReplayJson.class.getResourceAsStream(resource)) {
      return in == null
          ? Result.failed(
              new ReplayFailure.UnknownName("deployment", deployment, "th-central, luzon"))
          : Result.success(MAPPER.readValue(in, ReplaySettings.class));
    } catch (IOException e) {
      return Result.failed(new ReplayFailure.FileUnusable(resource, e.toString()));
    }
  }

  /** Returns a trace as JSON lines in order of time, with events before requests. */
  static String formatTrace(Trace trace) {
    Map<Long, List<String>> lines = new TreeMap<>();
    trace.events().forEach(e -> addLine(lines, e.getAtMs(), e));
    trace.requests().forEach(r -> addLine(lines, r.getAtMs(), r));
    StringBuilder text = new StringBuilder();
    lines.values().forEach(group -> group.forEach(l -> text.append(l).append('\n')));
    return text.toString();
  }

  /** Returns an instance of a generated class as JSON on one line. */
  static String toJson(Object message) {
    try {
      return MAPPER.writeValueAsString(message);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(
          "Cannot encode " + message.getClass().getName() + " as JSON", e);
    }
  }

  private static void addLine(Map<Long, List<String>> lines, long atMs, Object message) {
    lines.computeIfAbsent(atMs, at -> new ArrayList<>()).add(toJson(message));
  }

  private static TraceRequest requireValid(TraceRequest request) {
    if (request.getTeam() == null || request.getRoute() == null || request.getPrefix() == null) {
      throw new IllegalArgumentException("a request must have team, route and prefix");
    }
    if (request.getPromptTokens() < 1 || request.getOutputTokens() < 1) {
      throw new IllegalArgumentException("prompt_tokens and output_tokens must be at least 1");
    }
    return request;
  }

  private static String traceName(Path file) {
    String name = String.valueOf(file.getFileName());
    return name.endsWith(TRACE_EXTENSION)
        ? name.substring(0, name.length() - TRACE_EXTENSION.length())
        : name;
  }

  private static String firstMessageLine(Exception e) {
    return String.valueOf(e.getMessage()).lines().findFirst().orElse("");
  }
}
