package io.samphiregauge.standins;

import io.netty.channel.EventLoopGroup;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.net.Address;
import io.samphiregauge.net.Codec;
import io.samphiregauge.net.OneShotHttpClient;

/** Sends requests to stand-ins in tests and decodes the responses, blocking until they arrive. */
final class TestHttpClient {
  static final Address ANY_PORT = new Address("127.0.0.1", 0);

  private static final int TIMEOUT_MS = 10_000;

  private final OneShotHttpClient client;

  TestHttpClient(EventLoopGroup loops) {
    this.client = new OneShotHttpClient(loops);
  }

  <T> Result<T> get(Address address, String path, Class<T> type) {
    return client
        .get(address, path, TIMEOUT_MS)
        .join()
        .flatMap(body -> Codec.json().decode(body, type));
  }

  <T> Result<T> post(Address address, String path, Object message, Class<T> type) {
    return client
        .post(address, path, Codec.json().encode(message), TIMEOUT_MS)
        .join()
        .flatMap(body -> Codec.json().decode(body, type));
  }
}
