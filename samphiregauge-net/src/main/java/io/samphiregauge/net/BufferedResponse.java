package io.samphiregauge.net;

import java.nio.charset.StandardCharsets;

/** A complete HTTP response, with its body buffered in memory. */
public final class BufferedResponse {
  private static final int FIRST_NON_SUCCESS_STATUS = 300;

  private final int status;
  private final byte[] body;

  BufferedResponse(int status, byte[] body) {
    this.status = status;
    this.body = body;
  }

  /** Returns the HTTP status code. */
  public int status() {
    return status;
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
