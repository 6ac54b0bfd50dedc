package io.samphiregauge.replay;

import io.samphiregauge.core.result.Failure;

/** Why a replay or a trace could not be read or written. */
public sealed interface ReplayFailure extends Failure {
  /**
   * A file that cannot be read or written.
   *
   * @param file the file
   * @param reason what the file system said
   */
  record FileUnusable(String file, String reason) implements ReplayFailure {
    @Override
    public String type() {
      return "file_unusable";
    }

    @Override
    public String message() {
      return "The file \"%s\" cannot be used: %s.".formatted(file, reason);
    }
  }

  /**
   * A line that is no trace request or event, or settings that do not fit their schema.
   *
   * @param file the file
   * @param line number of the line, from 1; 0 for the whole file
   * @param reason what is wrong
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
   * A policy, trace or deployment that does not exist.
   *
   * @param kind what was looked for
   * @param name its name
   * @param knownNames names that exist
   */
  record UnknownName(String kind, String name, String knownNames) implements ReplayFailure {
    @Override
    public String type() {
      return "unknown_name";
    }

    @Override
    public String message() {
      return "There is no %s \"%s\"; known are %s.".formatted(kind, name, knownNames);
    }
  }
}
