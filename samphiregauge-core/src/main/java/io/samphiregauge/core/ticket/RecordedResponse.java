package io.samphiregauge.core.ticket;

import java.nio.ByteBuffer;
import java.util.Objects;

/** A complete response of a backend server, recorded for repeats of its request; immutable. */
public final class RecordedResponse {
  private final int status;
  private final String contentType;
  private final ByteBuffer body;

  private RecordedResponse(int status, String contentType, ByteBuffer body) {
    this.status = status;
    this.contentType = contentType;
    this.body = body;
  }

  /**
   * Creates a recorded response.
   *
   * @param status HTTP status
   * @param contentType media type of the body, or an empty string
   * @param body the body, which is copied
   * @return the response
   */
  public static RecordedResponse of(int status, String contentType, byte[] body) {
    Objects.requireNonNull(contentType, "contentType");
    return new RecordedResponse(status, contentType, ByteBuffer.wrap(body.clone()));
  }

  /** Returns the HTTP status. */
  public int status() {
    return status;
  }

  /** Returns the media type of the body, or an empty string. */
  public String contentType() {
    return contentType;
  }

  /** Returns a read-only view of the body with its own position. */
  public ByteBuffer body() {
    return body.asReadOnlyBuffer();
  }

  /** Returns the size of the body in bytes. */
  public int size() {
    return body.capacity();
  }
}
