package io.samphiregauge.gateway.traffic;

import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;

/** Holds the responses of servers to one request, and releases their buffers. */
final class ReceivedResponses {
  private final EventLoopContext context;
  private final ByteBufAllocator allocator;
  private Optional<ServerResponse> current = Optional.empty();
  private Optional<ServerResponse> failure = Optional.empty();

  ReceivedResponses(EventLoopContext context, ByteBufAllocator allocator) {
    this.context = context;
    this.allocator = allocator;
  }

  /** Begins a response, which replaces the current one. */
  void begin(HttpResponse head) {
    ServerResponse next =
        new ServerResponse(
            head,
            context.dialect().responseParser().apply(head),
            allocator,
            context.bufferBudget());
    current.ifPresent(ServerResponse::release);
    current = Optional.of(next);
  }

  /** Returns the response that is being received. */
  ServerResponse current() {
    return current.orElseThrow();
  }

  /** Returns the first error response, relayed if no later attempt gets a better one. */
  Optional<ServerResponse> failure() {
    return failure;
  }

  /** Saves the current response if it is the first error response that can be relayed. */
  void saveFailure() {
    if (failure.isEmpty() && !current().isUnconfirmedRejection()) {
      failure = current;
      current = Optional.empty();
    }
  }

  void release() {
    current.ifPresent(ServerResponse::release);
    current = Optional.empty();
    failure.ifPresent(ServerResponse::release);
    failure = Optional.empty();
  }
}
