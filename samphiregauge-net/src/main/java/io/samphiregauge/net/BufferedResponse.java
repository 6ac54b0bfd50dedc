package io.samphiregauge.net;

import java.nio.charset.StandardCharsets;

/** A whole answer to a call. */
public final class BufferedResponse {
  private static final int FIRST_ERROR_STATUS = 300;

  private final int status;
  private final byte[] body;

  BufferedResponse(int status, byte[] body) {
    this.status = status;
    this.body = body;
  }

  /** Returns the HTTP status. */
  public int status() {
    return status;
  }

  /** Returns the body, empty where there is none; the array is not to be changed. */
  public byte[] body() {
    return body;
  }

  /** Returns whether the status is one of success. */
  public boolean isSuccess() {
    return status < FIRST_ERROR_STATUS;
  }

  /** Returns the body as text. */
  public String text() {
    return new String(body, StandardCharsets.UTF_8);
  }
}
