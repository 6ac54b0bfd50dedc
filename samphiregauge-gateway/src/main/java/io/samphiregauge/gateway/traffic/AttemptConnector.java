package io.samphiregauge.gateway.traffic;

import io.samphiregauge.core.result.Result;
import io.samphiregauge.net.HttpConnection;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;

/** Provides the connections for the attempts of one request. Confined to one event loop. */
final class AttemptConnector {
  private final EventLoopContext context;

  /** Servers that have received the request, also to prefill it only. */
  private final Set<String> contactedServers = new HashSet<>();

  AttemptConnector(EventLoopContext context) {
    this.context = context;
  }

  /**
   * Acquires a connection on which no earlier bytes can be taken for the answer. It is a new one if
   * the server has received the request before, because a copy of that answer bears the same
   * identifier.
   *
   * @param attempt the attempt
   * @param callback receives the connection after the events that are already known to the event
   *     loop, which may include the end of the caller's connection; with a slow processor they can
   *     be half a second old
   */
  void connect(ForwardAttempt attempt, Consumer<Result<HttpConnection>> callback) {
    context
        .connectionPool()
        .acquire(
            EventLoopContext.parseAddress(attempt.load().server().address()),
            !contactedServers.contains(attempt.incarnation()),
            opened -> {
              if (opened.value().isEmpty()) {
                callback.accept(opened);
                return;
              }
              context.execute(() -> provide(attempt, opened.value().orElseThrow(), callback));
            });
  }

  private void provide(
      ForwardAttempt attempt,
      HttpConnection connection,
      Consumer<Result<HttpConnection>> callback) {
    if (connection.wasUsed() && connection.hasUnreadInput()) {
      connection.abandon();
      connect(attempt, callback);
      return;
    }
    contactedServers.add(attempt.incarnation());
    callback.accept(Result.success(connection));
  }
}
