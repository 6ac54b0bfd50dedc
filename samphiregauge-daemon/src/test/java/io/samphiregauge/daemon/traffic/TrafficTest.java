package io.samphiregauge.daemon.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.nio.NioEventLoopGroup;
import io.samphiregauge.net.Address;
import io.samphiregauge.schema.standin.ServiceFaults;
import io.samphiregauge.standins.EngineStandin;
import io.samphiregauge.standins.ServiceStandin;
import java.io.IOException;
import java.net.ServerSocket;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against mixed-up responses, wrong outcomes and missing authorization checks. */
class TrafficTest {
  private static final String FIVE_TOKENS = "{\"model\":\"m1\",\"max_tokens\":5}";

  private final NioEventLoopGroup loops = new NioEventLoopGroup(2);
  private EngineStandin engine;
  private ServiceStandin first;
  private ServiceStandin second;
  private TestEntry entry;

  @BeforeEach
  void start() {
    engine = EngineStandin.start(loops, TestEntry.ANY, 1);
    first = ServiceStandin.start(loops, TestEntry.ANY, "first");
    second = ServiceStandin.start(loops, TestEntry.ANY, "second");
    entry =
        new TestEntry(
            "vm1",
            1,
            5_000,
            List.of(
                TestEntry.engine("e1", engine.address()),
                TestEntry.service("w1", "wallet", first.address()),
                TestEntry.service("w2", "wallet", second.address()),
                TestEntry.service("n1", "news", first.address())));
  }

  @AfterEach
  void stop() {
    entry.close();
    engine.close();
    first.close();
    second.close();
    loops.shutdownGracefully();
  }

  @Test
  void answersPipelinedRequestsInOrder() {
    try (RawCaller caller = entry.caller()) {
      String completion =
          RawCaller.request(
              "POST", "/v1/completions", RawCaller.keyHeader(TestEntry.KEY), FIVE_TOKENS);
      String expecting =
          RawCaller.request(
              "GET",
              "/v1/services/wallet/b",
              RawCaller.keyHeader(TestEntry.KEY) + "Expect: 100-continue\r\n",
              "");
      caller.send(
          completion + RawCaller.request("GET", "/healthz", "", "") + completion + expecting);
      assertThat(caller.read().body()).startsWith("data: {\"index\":0").endsWith("[DONE]\n\n");
      assertThat(caller.read().body()).isEqualTo("ok\n");
      assertThat(caller.read().body()).startsWith("data: {\"index\":0").endsWith("[DONE]\n\n");
      RawCaller.Response last = caller.read();
      if (last.status() == 100) {
        last = caller.read();
      }
      assertThat(last.body()).contains("\"/b\"");
    }
  }

  @Test
  void rejectsWithdrawnKeyOnAnOpenConnection() {
    try (RawCaller caller = entry.caller()) {
      assertThat(caller.requestCompletion(FIVE_TOKENS).status()).isEqualTo(200);
      entry.configure(List.of("other"), List.of(TestEntry.engine("e1", engine.address())));
      RawCaller.Response response = caller.requestCompletion(FIVE_TOKENS);
      assertThat(response.status()).isEqualTo(401);
      assertThat(response.body()).contains("unknown_key", "not_run").doesNotContain("null");
    }
  }

  @Test
  void rejectsKeyedRequestsWhileTheConfigurationIsUnknown() {
    try (RawCaller caller = entry.caller()) {
      entry.setFresh(false);
      RawCaller.Response response = caller.requestCompletion(FIVE_TOKENS);
      assertThat(response.status()).isEqualTo(503);
      assertThat(response.body()).contains("configuration_unknown", "not_run");
      assertThat(caller.exchange("GET", "/v1/services/news/today", "", "").status()).isEqualTo(200);
    }
    assertThat(engine.record().getRequests()).isEmpty();
  }

  @Test
  void hidesTheKeyFromBackendServers() {
    try (RawCaller caller = entry.caller()) {
      caller.requestCompletion(FIVE_TOKENS);
      caller.exchange("PUT", "/v1/services/wallet/b?x=1", RawCaller.keyHeader(TestEntry.KEY), "{}");
    }
    assertThat(engine.record().getKeyViolations()).isZero();
    assertThat(first.record().getKeyViolations() + second.record().getKeyViolations()).isZero();
  }

  @Test
  void reportsNotRunWhenNoBackendServerIsReachable() throws IOException {
    int closedPort;
    try (ServerSocket socket = new ServerSocket(0)) {
      closedPort = socket.getLocalPort();
    }
    entry.configure(
        List.of(TestEntry.KEY),
        List.of(TestEntry.engine("gone", new Address("127.0.0.1", closedPort))));
    try (RawCaller caller = entry.caller()) {
      RawCaller.Response response = caller.requestCompletion(FIVE_TOKENS);
      assertThat(response.status()).isEqualTo(503);
      assertThat(response.body()).contains("not_run");
    }
  }

  @Test
  void retriesAnIdempotentCallAndReportsOutcomeUnknownWhenAllFail() {
    first.setFaults(new ServiceFaults(0, 1, 0));
    second.setFaults(new ServiceFaults(0, 1, 0));
    try (RawCaller caller = entry.caller()) {
      RawCaller.Response failed =
          caller.exchange("GET", "/v1/services/wallet/b", RawCaller.keyHeader(TestEntry.KEY), "");
      assertThat(failed.status()).isEqualTo(503);
      assertThat(failed.body()).contains("outcome_unknown");
    }
    assertThat(first.record().getCalls() + second.record().getCalls()).isEqualTo(2);
  }

  @Test
  void stopsRetryingWhenTheRetryBudgetIsExhausted() {
    first.setFaults(new ServiceFaults(0, 1_000, 0));
    second.setFaults(new ServiceFaults(0, 1_000, 0));
    int requests = 100;
    for (int i = 0; i < requests; i++) {
      // A failed backend server is in cooldown under its name, so each request uses new names.
      String suffix = "-" + i;
      entry.configure(
          List.of(TestEntry.KEY),
          List.of(
              TestEntry.service("w1" + suffix, "wallet", first.address()),
              TestEntry.service("w2" + suffix, "wallet", second.address())));
      try (RawCaller caller = entry.caller()) {
        caller.exchange("GET", "/v1/services/wallet/b", RawCaller.keyHeader(TestEntry.KEY), "");
      }
    }
    int calls = first.record().getCalls() + second.record().getCalls();
    // One in ten requests may be retried, and the budget starts with ten retries.
    assertThat(calls).isGreaterThan(requests).isLessThanOrEqualTo(requests + 10 + requests / 10);
  }

  @Test
  void reportsTheOutcomeWhenTheDeadlinePasses() {
    first.setFaults(new ServiceFaults(5_000, 0, 0));
    second.setFaults(new ServiceFaults(5_000, 0, 0));
    String headers = RawCaller.keyHeader(TestEntry.KEY) + "Samphire-Deadline-Ms: 50\r\n";
    try (RawCaller caller = entry.caller()) {
      RawCaller.Response late = caller.exchange("GET", "/v1/services/wallet/b", headers, "");
      assertThat(late.status()).isEqualTo(504);
      assertThat(late.body()).contains("deadline_exceeded", "outcome_unknown");
      String bad = RawCaller.keyHeader(TestEntry.KEY) + "Samphire-Deadline-Ms: soon\r\n";
      RawCaller.Response rejected = caller.exchange("GET", "/v1/services/wallet/b", bad, "");
      assertThat(rejected.status()).isEqualTo(400);
      assertThat(rejected.body()).contains("bad_deadline", "not_run");
    }
  }

  @Test
  void rejectsAmbiguousPaths() {
    for (String path : List.of("questions/../book", "questions/%2e%2e/book", "questions//book")) {
      try (RawCaller caller = entry.caller()) {
        String uri = "/v1/services/booking/" + path;
        RawCaller.Response response =
            caller.exchange("POST", uri, RawCaller.keyHeader(TestEntry.KEY), "");
        assertThat(response.status()).isEqualTo(400);
        assertThat(response.body()).contains("ambiguous_path", "not_run");
      }
    }
  }

  @Test
  void reportsItsStateToOperators() {
    try (RawCaller caller = entry.caller()) {
      caller.requestCompletion(FIVE_TOKENS);
      assertThat(caller.exchange("GET", "/readyz", "", "").status()).isEqualTo(200);
      assertThat(caller.exchange("GET", "/metrics", "", "").body())
          .contains("\"answers_2xx\":", "\"whole_answer_us_p99\":");
      assertThat(caller.exchange("GET", "/v1/status", "", "").body())
          .contains("\"vm\":\"vm1\"", "\"noteOffset\":0", "\"draining\":false");
      assertThat(caller.exchange("GET", "/v1/directory?tickets=2", "", "").body())
          .contains(entry.server.address().toString(), "\"keepMs\":5000", "vm1.1.1.");
    }
    assertThat(entry.outputTokens.get()).isEqualTo(5);
  }
}
