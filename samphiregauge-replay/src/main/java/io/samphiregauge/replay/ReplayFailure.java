package io.samphiregauge.replay;

import io.samphiregauge.core.result.Failure;

/** Failure to read, generate, run or write a replay or its trace. */
public sealed interface ReplayFailure extends Failure {
  /**
   * File that cannot be read or written.
   *
   * @param file path of the file
   * @param reason text of the I/O exception
   */
  record FileUnusable(String file, String reason) implements ReplayFailure {
    @Override
    public String type() {
      return "file_unusable";
    }

    @Override
    public String message() {
      return "Cannot read or write file \"%s\": %s.".formatted(file, reason);
    }
  }

  /**
   * Line that is not a request or event of a trace, or settings that violate their schema.
   *
   * @param file path of the file, or name of the trace
   * @param line line number from 1; 0 for the whole file
   * @param reason violated rule or message of the parser
   */
  record Malformed(String file, int line, String reason) implements ReplayFailure {
    @Override
    public String type() {
      return "malformed";
    }

    @Override
    public String message() {
      return "Line %d of \"%s\" is malformed: %s.".formatted(line, file, reason);
    }
  }

  /**
   * Name of a policy, trace shape or deployment that does not exist.
   *
   * @param kind kind of thing, such as {@code policy}
   * @param name unknown name
   * @param knownNames existing names, separated by commas
   */
  record UnknownName(String kind, String name, String knownNames) implements ReplayFailure {
    @Override
    public String type() {
      return "unknown_name";
    }

    @Override
    public String message() {
      return "Unknown %s \"%s\"; expected one of: %s.".formatted(kind, name, knownNames);
    }
  }
}
