package io.samphiregauge.net;

import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.samphiregauge.core.result.Result;
import java.io.ByteArrayOutputStream;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** A request whose whole response is buffered. Confined to the event loop of its connection. */
final class BufferedCall {
  private final HttpConnection connection;
  private final int maxResponseBytes;
  private final CompletableFuture<Result<BufferedResponse>> future;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private Optional<HttpResponse> head = Optional.empty();

  /**
   * Creates a call that has not been sent.
   *
   * @param connection carries the request
   * @param maxResponseBytes maximum size of the response, in bytes
   * @param future receives the response with any status, or the reason why there is none
   */
  BufferedCall(
      HttpConnection connection,
      int maxResponseBytes,
      CompletableFuture<Result<BufferedResponse>> future) {
    this.connection = connection;
    this.maxResponseBytes = maxResponseBytes;
    this.future = future;
  }

  /**
   * Sends the request if its sender has the authority for it, and abandons it when that ends.
   *
   * @param request the request, released after it is written
   * @param authority limits the request
   * @param onAbandoned runs if the request is abandoned
   * @return whether the request was sent
   */
  boolean send(FullHttpRequest request, CallAuthority authority, Runnable onAbandoned) {
    if (AuthorityWatch.hasEnded(authority)) {
      request.release();
      connection.abandon();
      future.complete(Result.failed(new NetFailure.Withheld(connection.address().toString())));
      return false;
    }
    connection.send(
        request,
        new ResponseListener(
            this::add, () -> {}, failure -> future.complete(Result.failed(failure))));
    AuthorityWatch.start(
        connection.eventLoop(),
        authority,
        future,
        () -> abandon("no response before the end of the sender's authority", onAbandoned));
    return true;
  }

  /** Abandons the request unless it is done; it fails with {@link NetFailure.NoAnswer}. */
  void abandon(String reason, Runnable onAbandoned) {
    if (fail(reason)) {
      connection.abandon();
      onAbandoned.run();
    }
  }

  private boolean fail(String reason) {
    String address = connection.address().toString();
    return future.complete(Result.failed(new NetFailure.NoAnswer(address, reason)));
  }

  private void add(HttpObject part) {
    if (part instanceof HttpResponse response) {
      head = Optional.of(response);
    }
    if (part instanceof HttpContent content) {
      body.writeBytes(ByteBufUtil.getBytes(content.content()));
    }
    boolean last = part instanceof LastHttpContent;
    ReferenceCountUtil.release(part);
    if (body.size() > maxResponseBytes) {
      connection.abandon();
      fail("response larger than " + maxResponseBytes + " bytes");
      return;
    }
    if (last) {
      future.complete(
          Result.success(
              new BufferedResponse(
                  head.orElseThrow().status().code(),
                  head.orElseThrow().headers(),
                  body.toByteArray())));
    }
  }
}
