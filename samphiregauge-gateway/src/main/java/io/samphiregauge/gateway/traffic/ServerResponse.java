package io.samphiregauge.gateway.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.samphiregauge.gateway.port.ResponseMeta;
import java.util.Locale;

/** The answer of one server as it arrives. */
final class ServerResponse {
  private static final int MISDIRECTED = 421;
  private static final String EVENT_STREAM = "text/event-stream";

  private final HttpResponse head;
  private final ResponseMeta meta;
  private final ByteBuf body;

  ServerResponse(HttpResponse head, ResponseMeta meta, ByteBufAllocator allocator) {
    this.head = head;
    this.meta = meta;
    this.body = allocator.buffer();
  }

  HttpResponse head() {
    return head;
  }

  int status() {
    return head.status().code();
  }

  boolean isSuccess() {
    return head.status().codeClass() == HttpStatusClass.SUCCESS;
  }

  boolean isServerError() {
    return head.status().codeClass() == HttpStatusClass.SERVER_ERROR;
  }

  /** Returns whether the server states that the request has not run and never will. */
  boolean isRejection() {
    return meta.notExecuted() || status() == MISDIRECTED;
  }

  /** Returns whether another server than the one that was meant has the address. */
  boolean isMisdirected() {
    return status() == MISDIRECTED;
  }

  /** Returns whether the answer is a success that its server does not vouch for. */
  boolean isUnsealedSuccess() {
    return isSuccess() && !meta.sealed();
  }

  /**
   * Returns whether the status promises that the request has not run, although the server does not
   * state it.
   */
  boolean isUnconfirmedRejection() {
    int status = status();
    return !isRejection() && (status == 503 || status == 429 || status == 408);
  }

  boolean isEventStream() {
    return isSuccess()
        && head.headers()
            .get(HttpHeaderNames.CONTENT_TYPE, "")
            .toLowerCase(Locale.ROOT)
            .startsWith(EVENT_STREAM);
  }

  /** Returns the bytes that have arrived and were not passed on. */
  ByteBuf body() {
    return body;
  }

  void release() {
    body.release();
  }
}
