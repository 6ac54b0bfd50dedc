package io.samphiregauge.gateway.traffic;

import io.netty.handler.codec.http.HttpMethod;
import io.samphiregauge.gateway.port.KvSource;
import io.samphiregauge.net.PooledHttpClient;
import java.util.Optional;

/** The KV cache that an engine holds for one request, until another engine takes it. */
final class RetainedKvCache {
  private static final int FREE_TIMEOUT_MS = 1_000;

  private final EventLoopContext context;
  private Optional<KvSource> source = Optional.empty();

  RetainedKvCache(EventLoopContext context) {
    this.context = context;
  }

  Optional<KvSource> source() {
    return source;
  }

  void retain(KvSource retained) {
    source = Optional.of(retained);
  }

  /** Notes that the engine no longer holds it. */
  void clear() {
    source = Optional.empty();
  }

  /** Tells the engine that nobody will take it; memory that is held for nobody is paid for. */
  void free() {
    Optional<KvSource> unused = source;
    source = Optional.empty();
    unused.ifPresent(
        held ->
            context
                .httpClient()
                .send(
                    EventLoopContext.parseAddress(held.server().address()),
                    PooledHttpClient.Request.empty(
                        HttpMethod.DELETE, context.dialect().kvFreePath().apply(held.handle())),
                    FREE_TIMEOUT_MS,
                    () -> true));
  }
}
