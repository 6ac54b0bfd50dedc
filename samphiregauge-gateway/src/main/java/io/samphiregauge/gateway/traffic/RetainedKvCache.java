package io.samphiregauge.gateway.traffic;

import io.netty.handler.codec.http.HttpMethod;
import io.samphiregauge.gateway.port.KvSource;
import io.samphiregauge.net.PooledHttpClient;
import java.util.Optional;

/** Tracks the KV cache that an engine retains for one request until another engine fetches it. */
final class RetainedKvCache {
  private static final int FREE_TIMEOUT_MS = 1_000;

  private final EventLoopContext context;
  private Optional<KvSource> source = Optional.empty();

  RetainedKvCache(EventLoopContext context) {
    this.context = context;
  }

  /** Returns the retained KV cache, if any. */
  Optional<KvSource> source() {
    return source;
  }

  void retain(KvSource retained) {
    source = Optional.of(retained);
  }

  /** Forgets the KV cache without a request to the engine, which no longer retains it. */
  void clear() {
    source = Optional.empty();
  }

  /**
   * Requests the engine to free the KV cache, if any, because retained memory is billed. The result
   * of the request is ignored.
   */
  void free() {
    Optional<KvSource> unused = source;
    source = Optional.empty();
    // A server that wants a pause frees the memory itself when the handle expires.
    unused
        .filter(kvSource -> !context.serverNotices().isClosed(kvSource.server()))
        .ifPresent(
            kvSource ->
                context
                    .httpClient()
                    .send(
                        EventLoopContext.parseAddress(kvSource.server().address()),
                        PooledHttpClient.Request.empty(
                            HttpMethod.DELETE,
                            context.dialect().kvFreePath().apply(kvSource.handle())),
                        FREE_TIMEOUT_MS));
  }
}
