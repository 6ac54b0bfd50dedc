package io.samphiregauge.core.config;

import io.samphiregauge.core.result.Failure;

/** Reasons why a note is rejected. */
public sealed interface NoteFailure extends Failure {
  /** Another note was accepted after the one that this note builds on. */
  record Conflict(long buildsOnOffset, long acceptedOffset) implements NoteFailure {
    @Override
    public String type() {
      return "note_conflict";
    }

    @Override
    public String message() {
      return "The note builds on offset %d, but the last accepted note is at offset %d."
          .formatted(buildsOnOffset, acceptedOffset);
    }
  }

  /** The note adds an item that already exists. */
  record AlreadyExists(String kind, String name) implements NoteFailure {
    @Override
    public String type() {
      return "already_exists";
    }

    @Override
    public String message() {
      return "The note adds the %s \"%s\", which already exists.".formatted(kind, name);
    }
  }

  /** The note changes, withdraws or refers to an item that does not exist. */
  record UnknownReference(String kind, String name) implements NoteFailure {
    @Override
    public String type() {
      return "unknown_reference";
    }

    @Override
    public String message() {
      return "The note refers to the %s \"%s\", which does not exist.".formatted(kind, name);
    }
  }

  /** The note would assign the same key to two teams. */
  record SharedKey(String firstTeam, String secondTeam) implements NoteFailure {
    @Override
    public String type() {
      return "shared_key";
    }

    @Override
    public String message() {
      return "The teams \"%s\" and \"%s\" would have the same key."
          .formatted(firstTeam, secondTeam);
    }
  }

  /** A field of the note is out of range. */
  record OutOfRange(String field, double value) implements NoteFailure {
    @Override
    public String type() {
      return "out_of_range";
    }

    @Override
    public String message() {
      return "The value %2$s of the field %1$s is out of range.".formatted(field, value);
    }
  }
}
