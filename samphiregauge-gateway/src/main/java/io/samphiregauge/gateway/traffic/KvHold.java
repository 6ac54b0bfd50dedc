package io.samphiregauge.gateway.traffic;

import io.netty.handler.codec.http.HttpMethod;
import io.samphiregauge.gateway.port.KvSource;
import io.samphiregauge.net.PooledHttpClient;
import java.util.Optional;

/** The KV cache that an engine holds for one request, until another engine takes it. */
final class KvHold {
  private static final int FREE_TIMEOUT_MS = 1_000;

  private final Traffic traffic;
  private Optional<KvSource> source = Optional.empty();

  KvHold(Traffic traffic) {
    this.traffic = traffic;
  }

  Optional<KvSource> source() {
    return source;
  }

  void hold(KvSource held) {
    source = Optional.of(held);
  }

  /** Notes that the engine no longer holds it. */
  void forget() {
    source = Optional.empty();
  }

  /** Tells the engine that nobody will take it; memory that is held for nobody is paid for. */
  void free() {
    Optional<KvSource> unused = source;
    source = Optional.empty();
    unused.ifPresent(
        held ->
            traffic
                .calls()
                .send(
                    Traffic.address(held.server().address()),
                    PooledHttpClient.Request.empty(
                        HttpMethod.DELETE, traffic.dialect().kvFreePath().apply(held.handle())),
                    FREE_TIMEOUT_MS,
                    () -> true));
  }
}
