package io.samphiregauge.net;

import com.fasterxml.jackson.databind.JsonMappingException;
import io.samphiregauge.core.result.Failure;
import java.util.Optional;

/** Failures of messages and connections. */
public sealed interface NetFailure extends Failure {
  /** A message whose bytes do not fit its type. */
  record BadMessage(String messageType, String location, String reason) implements NetFailure {
    static BadMessage of(String messageType, Exception cause) {
      String location =
          cause instanceof JsonMappingException mapping ? mapping.getPathReference() : "start";
      String text = Optional.ofNullable(cause.getMessage()).orElse("no detail");
      return new BadMessage(messageType, location, text.lines().findFirst().orElse("no detail"));
    }

    @Override
    public String type() {
      return "bad_message";
    }

    @Override
    public String message() {
      return "The %s is wrong at %s: %s".formatted(messageType, location, reason);
    }
  }

  /** A connection that could not be opened; nothing was sent. */
  record NotConnected(String address, String reason) implements NetFailure {
    @Override
    public String type() {
      return "not_connected";
    }

    @Override
    public String message() {
      return "There is no connection to %s: %s".formatted(address, reason);
    }
  }

  /** A connection that ended, or stayed silent too long, after the request was sent. */
  record NoAnswer(String address, String reason) implements NetFailure {
    @Override
    public String type() {
      return "no_answer";
    }

    @Override
    public String message() {
      return "%s gave no whole answer: %s".formatted(address, reason);
    }
  }

  /** An answer with a status other than 2xx. */
  record Refused(String address, int status, String body) implements NetFailure {
    @Override
    public String type() {
      return "refused";
    }

    @Override
    public String message() {
      return "%s answered with status %d: %s".formatted(address, status, body);
    }
  }

  /** An address that is not an IP number with a port. */
  record BadAddress(String text) implements NetFailure {
    @Override
    public String type() {
      return "bad_address";
    }

    @Override
    public String message() {
      return "\"%s\" is not an IP number with a port, such as 127.0.0.1:8080.".formatted(text);
    }
  }

  /** Bytes between entries that are not a frame, or a frame out of order; the connection ends. */
  record BadFrame(String peer, String reason) implements NetFailure {
    @Override
    public String type() {
      return "bad_frame";
    }

    @Override
    public String message() {
      return "The connection from %s brought a wrong frame: %s".formatted(peer, reason);
    }
  }

  /** A request that was not sent, because its sender lost the authority at the last step. */
  record Withheld(String address) implements NetFailure {
    @Override
    public String type() {
      return "withheld";
    }

    @Override
    public String message() {
      return "The request to %s was not sent, because the lease no longer allows it."
          .formatted(address);
    }
  }
}
