package io.samphiregauge.net;

import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** A complete HTTP response, with its body buffered in memory. */
public final class BufferedResponse {
  private static final int FIRST_NON_SUCCESS_STATUS = 300;

  private final int status;
  private final HttpHeaders headers;
  private final byte[] body;

  BufferedResponse(int status, HttpHeaders headers, byte[] body) {
    this.status = status;
    this.headers = headers;
    this.body = body;
  }

  /** Returns the HTTP status code. */
  public int status() {
    return status;
  }

  /** Returns the first value of a header, if the response has it. */
  public Optional<String> header(String name) {
    return Optional.ofNullable(headers.get(name));
  }

  /** Returns the body, or an empty array; callers must not modify it. */
  public byte[] body() {
    return body;
  }

  /** Returns whether the status code is below 300. */
  public boolean isSuccess() {
    return status < FIRST_NON_SUCCESS_STATUS;
  }

  /** Returns the body decoded as UTF-8. */
  public String text() {
    return new String(body, StandardCharsets.UTF_8);
  }
}
