package io.samphiregauge.standins;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.nio.NioEventLoopGroup;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.net.Codec;
import io.samphiregauge.net.NetFailure;
import io.samphiregauge.net.OneShotHttpClient;
import io.samphiregauge.schema.order.ChangeRole;
import io.samphiregauge.schema.order.Drain;
import io.samphiregauge.schema.order.EngineRole;
import io.samphiregauge.schema.platform.CacheEvent;
import io.samphiregauge.schema.platform.CacheEventsPage;
import io.samphiregauge.schema.platform.KvBlock;
import io.samphiregauge.schema.platform.LoadReport;
import io.samphiregauge.schema.platform.OrderAnswer;
import io.samphiregauge.schema.platform.OrderRequest;
import io.samphiregauge.schema.platform.OrderStatus;
import io.samphiregauge.schema.standin.EngineFaults;
import io.samphiregauge.schema.standin.EngineRecord;
import io.samphiregauge.schema.standin.EngineSpec;
import io.samphiregauge.schema.standin.ReceivedOrder;
import io.samphiregauge.schema.standin.StreamEnding;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against an engine stand-in that hides violations or faults, such as a leaked key or a
 * stale order, from the tests that use it.
 */
class EngineStandinTest {
  private static final int TIMEOUT_MS = 10_000;

  private final NioEventLoopGroup loops = new NioEventLoopGroup(2);
  private final TestHttpClient http = new TestHttpClient(loops);
  private final EngineStandin engine = EngineStandin.start(loops, TestHttpClient.ANY_PORT, 1);

  @AfterEach
  void stop() {
    engine.close();
    loops.shutdownGracefully();
  }

  @Test
  void streamsTokensLabelledWithUserAndIndex() {
    String response = complete("{\"max_tokens\":2,\"user\":\"u7\"}").value().orElseThrow();
    assertThat(response)
        .isEqualTo(
            """
            data: {"index":0,"text":"u7:t0 "}

            data: {"index":1,"text":"u7:t1 "}

            data: [DONE]

            """);
    assertThat(engine.record().getRequests().get(0).getSentTokens()).isEqualTo(2);
    assertThat(engine.record().getRequests().get(0).getEnding()).isEqualTo(StreamEnding.FINISHED);
  }

  @Test
  void countsRequestsWithCallerKeyInsteadOfFailing() throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + engine.address() + "/v1/completions"))
            .header("Authorization", "Bearer secret")
            .POST(HttpRequest.BodyPublishers.ofString("{\"max_tokens\":1}"))
            .build();
    HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
    assertThat(engine.record().getKeyViolations()).isEqualTo(1);
  }

  @Test
  void rejectsStaleFencingTokenAndAppliesEachTokenOnce() {
    assertThat(order(engine, 5)).isEqualTo(OrderStatus.APPLIED);
    assertThat(order(engine, 5)).isEqualTo(OrderStatus.REPEATED);
    assertThat(order(engine, 4)).isEqualTo(OrderStatus.STALE_TOKEN);
    assertThat(engine.record().getOrders())
        .extracting(ReceivedOrder::getStatus)
        .containsExactly(OrderStatus.APPLIED, OrderStatus.REPEATED, OrderStatus.STALE_TOKEN);
  }

  @Test
  void appliesStaleTokenWhenFencingIsNotChecked() {
    EngineSpec spec = new EngineSpec("e2", List.of(), 1, 1_000L, 1_000, 1_000, 0, 0, false);
    try (EngineStandin unfenced = EngineStandin.start(loops, TestHttpClient.ANY_PORT, spec)) {
      assertThat(order(unfenced, 5)).isEqualTo(OrderStatus.APPLIED);
      assertThat(order(unfenced, 4)).isEqualTo(OrderStatus.APPLIED);
    }
  }

  @Test
  void refusesRequestsDuringRoleChange() {
    EngineSpec spec = new EngineSpec("e2", List.of(), 1, 1_000L, 1_000, 1_000, 60_000, 0, true);
    try (EngineStandin changing = EngineStandin.start(loops, TestHttpClient.ANY_PORT, spec)) {
      var change = new OrderRequest(1L, new ChangeRole(EngineRole.DECODE));
      http.post(changing.address(), "/v1/orders", change, OrderAnswer.class);
      var response = post(changing, "{\"max_tokens\":1}");
      assertThat(response.failure().orElseThrow().message())
          .contains("503", "changing_role", "not_run");
    }
  }

  @Test
  void crashesOnMatchingRequestAndClearsCache() {
    engine.crashWhen(body -> body.contains("poison"));
    complete("{\"max_tokens\":1,\"prompt\":\"%s\"}".formatted("x".repeat(600)));
    assertThat(load().getCachedTokens()).isEqualTo(2 * PrefixHashes.BLOCK_TOKENS);
    assertThat(complete("{\"prompt\":\"poison\"}").failure())
        .containsInstanceOf(NetFailure.NoAnswer.class);
    assertThat(complete("{}").failure()).containsInstanceOf(NetFailure.NoAnswer.class);
    engine.restart();
    assertThat(load().getCachedTokens()).isZero();
    assertThat(engine.record().getCrashes()).isEqualTo(1);
  }

  @Test
  void interruptsRunningStreamsOnCrashFault() {
    EngineSpec spec = new EngineSpec("e2", List.of(), 1, 1_000L, 1_000, 1_000, 0, 0, true);
    try (EngineStandin target = EngineStandin.start(loops, TestHttpClient.ANY_PORT, spec)) {
      var stream =
          new OneShotHttpClient(loops)
              .post(target.address(), "/v1/completions", bytes("{\"max_tokens\":1000000}"), 60_000);
      EngineRecord record = target.record();
      while (record.getRequests().isEmpty()) {
        record = http.get(target.address(), "/control/record", EngineRecord.class).value().get();
      }
      http.post(target.address(), "/control/faults", crashed(), String.class);
      assertThat(stream.join().failure()).containsInstanceOf(NetFailure.NoAnswer.class);
      assertThat(target.record().getRequests().get(0).getEnding())
          .isEqualTo(StreamEnding.INTERRUPTED);
    }
  }

  @Test
  void leavesSequenceGapForDroppedCacheEvents() {
    engine.setFaults(decode("{\"loseCacheEvents\":2}", EngineFaults.class));
    complete("{\"max_tokens\":1,\"prompt\":\"%s\"}".formatted("x".repeat(1_024)));
    List<CacheEvent> events =
        http.get(engine.address(), "/v1/cache-events?from=0", CacheEventsPage.class)
            .value()
            .orElseThrow()
            .getEvents();
    assertThat(events).extracting(CacheEvent::getSequence).containsExactly(0L, 2L);
  }

  @Test
  void delaysLoadReportsByConfiguredLag() {
    engine.setFaults(decode("{\"loadReportLagMs\":3600000}", EngineFaults.class));
    order(engine, 5);
    assertThat(load().isLeaving()).isFalse();
    engine.setFaults(decode("{\"loadReportLagMs\":0}", EngineFaults.class));
    assertThat(load().isLeaving()).isTrue();
  }

  @Test
  void importsKvBlockExportedByAnotherEngine() {
    KvBlock block =
        decode(
            complete("{\"model\":\"m\",\"prompt\":\"abcdefgh\",\"prefill_only\":true}")
                .value()
                .orElseThrow(),
            KvBlock.class);
    try (EngineStandin other = EngineStandin.start(loops, TestHttpClient.ANY_PORT, 1)) {
      String body = "{\"max_tokens\":1,\"kv_handle\":\"%s\"}".formatted(block.getHandle());
      assertThat(post(other, body).failure().orElseThrow().message()).contains("unknown_kv_handle");
      KvBlock exported =
          http.get(engine.address(), "/v1/kv/" + block.getHandle(), KvBlock.class)
              .value()
              .orElseThrow();
      http.post(other.address(), "/v1/kv", exported, String.class);
      assertThat(post(other, body).value()).isPresent();
    }
  }

  private OrderStatus order(EngineStandin target, long token) {
    OrderRequest request = new OrderRequest(token, new Drain("test"));
    return http.post(target.address(), "/v1/orders", request, OrderAnswer.class)
        .value()
        .orElseThrow()
        .getStatus();
  }

  private LoadReport load() {
    return http.get(engine.address(), "/v1/load", LoadReport.class).value().orElseThrow();
  }

  private Result<String> complete(String body) {
    return post(engine, body);
  }

  private Result<String> post(EngineStandin target, String body) {
    return new OneShotHttpClient(loops)
        .post(target.address(), "/v1/completions", bytes(body), TIMEOUT_MS)
        .join()
        .map(response -> new String(response, StandardCharsets.UTF_8));
  }

  private static EngineFaults crashed() {
    return decode("{\"crashed\":true}", EngineFaults.class);
  }

  private static <T> T decode(String json, Class<T> type) {
    return Codec.json().decode(bytes(json), type).value().orElseThrow();
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
