package io.samphiregauge.gateway.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.gateway.port.Dialect;
import io.samphiregauge.gateway.port.ResponseMeta;
import java.util.Locale;
import java.util.Optional;

/** A response of a backend server while it is being received. */
final class ServerResponse {
  private static final int MISDIRECTED = 421;
  private static final String EVENT_STREAM = "text/event-stream";

  /**
   * Bytes that a part counts for at least. A server that sends chunks of a few bytes without end
   * would otherwise keep the event loop busy for long before it reaches the limits.
   */
  private static final int MIN_PART_BYTES = 64;

  private final HttpResponse head;
  private final ResponseMeta meta;
  private final ByteBuf body;
  private final BufferBudget budget;
  private long reservedBytes;

  ServerResponse(
      HttpResponse head, ResponseMeta meta, ByteBufAllocator allocator, BufferBudget budget) {
    this.head = head;
    this.meta = meta;
    this.body = allocator.buffer();
    this.budget = budget;
  }

  /**
   * Appends bytes to the body.
   *
   * @param bytes the bytes; copied and not released
   * @return whether the body is within its limits; if not, nothing was appended
   */
  boolean append(ByteBuf bytes) {
    int length = bytes.readableBytes();
    if (length == 0) {
      return true;
    }
    int reserved = Math.max(length, MIN_PART_BYTES);
    if (!budget.tryReserve(reserved, reservedBytes)) {
      return false;
    }
    reservedBytes += reserved;
    body.writeBytes(bytes, bytes.readerIndex(), length);
    return true;
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

  /** Returns whether the server states that it is shutting down. */
  boolean isFromLeavingServer() {
    return meta.leaving();
  }

  /** Returns the time in milliseconds for which the server wants no requests, if it states one. */
  Optional<Result<Long>> requestedWaitMs() {
    return meta.waitMs();
  }

  /** Returns whether the server guarantees that the request has not run and will not run. */
  boolean isRejection() {
    return meta.notExecuted() || status() == MISDIRECTED;
  }

  /** Returns whether the address belongs to a different server than the intended one. */
  boolean isMisdirected() {
    return status() == MISDIRECTED;
  }

  /**
   * Returns whether the response is a success that is not the server's: it lacks the seal by which
   * a server vouches for it, or its body is encoded although no caller asked for that.
   */
  boolean isUnsealedSuccess() {
    return isSuccess()
        && (!meta.sealed() || head.headers().contains(HttpHeaderNames.CONTENT_ENCODING));
  }

  /**
   * Returns whether the status (503, 429 or 408) implies that the request has not run, but without
   * the server's explicit guarantee.
   */
  boolean isUnconfirmedRejection() {
    int status = status();
    return !isRejection() && (status == 503 || status == 429 || status == 408);
  }

  /** Returns whether this is a stream of events; other statuses of success have no events. */
  boolean isEventStream() {
    return head.status().equals(HttpResponseStatus.OK)
        && head.headers()
            .get(HttpHeaderNames.CONTENT_TYPE, "")
            .toLowerCase(Locale.ROOT)
            .startsWith(EVENT_STREAM);
  }

  /** Returns whether the events of this response are relayed to the caller as they arrive. */
  boolean isRelayedAsStream(RoutedRequest request, ForwardAttempt attempt) {
    return request.route().kind().isStream()
        && !attempt.prefillOnly()
        && isEventStream()
        && !isUnsealedSuccess();
  }

  /** Returns the received bytes that were not relayed as events. */
  ByteBuf body() {
    return body;
  }

  void release() {
    budget.release(reservedBytes);
    reservedBytes = 0;
    body.release();
  }

  /** Reads the handle of the KV cache from the body; empty if the server failed to prefill. */
  Optional<String> readKvHandle(Dialect dialect) {
    byte[] bytes = new byte[body.readableBytes()];
    body.readBytes(bytes);
    return isSuccess() ? dialect.kvHandleParser().apply(bytes).value() : Optional.empty();
  }
}
