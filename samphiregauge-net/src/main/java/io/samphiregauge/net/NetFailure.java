package io.samphiregauge.net;

import com.fasterxml.jackson.databind.JsonMappingException;
import io.samphiregauge.core.result.Failure;
import java.util.Optional;

/** Failures of message decoding and of connections. */
public sealed interface NetFailure extends Failure {
  /** A message that cannot be decoded as its expected type. */
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
      return "Cannot decode %s at %s: %s".formatted(messageType, location, reason);
    }
  }

  /** A connection or listening socket that could not be opened; nothing was sent. */
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

  /** A connection that closed or timed out after the request was sent; its outcome is unknown. */
  record NoAnswer(String address, String reason) implements NetFailure {
    @Override
    public String type() {
      return "no_answer";
    }

    @Override
    public String message() {
      return "No complete response from %s: %s".formatted(address, reason);
    }
  }

  /** A response with a status other than 2xx. */
  record Refused(String address, int status, String body) implements NetFailure {
    @Override
    public String type() {
      return "refused";
    }

    @Override
    public String message() {
      return "%s responded with status %d: %s".formatted(address, status, body);
    }
  }

  /** A text that is not an IP address with a port. */
  record BadAddress(String text) implements NetFailure {
    @Override
    public String type() {
      return "bad_address";
    }

    @Override
    public String message() {
      return "\"%s\" is not an IP address with a port, such as 127.0.0.1:8080.".formatted(text);
    }
  }

  /** An invalid, oversized or out-of-order frame on a connection between entries. */
  record BadFrame(String peer, String reason) implements NetFailure {
    @Override
    public String type() {
      return "bad_frame";
    }

    @Override
    public String message() {
      return "Invalid frame on the connection with %s: %s".formatted(peer, reason);
    }
  }

  /** A request that was not sent, because the sender's authority had ended before the write. */
  record Withheld(String address) implements NetFailure {
    @Override
    public String type() {
      return "withheld";
    }

    @Override
    public String message() {
      return "The request to %s was not sent: its authority has ended.".formatted(address);
    }
  }
}
