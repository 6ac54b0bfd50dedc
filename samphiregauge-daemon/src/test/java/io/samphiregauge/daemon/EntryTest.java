package io.samphiregauge.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.nio.NioEventLoopGroup;
import io.samphiregauge.core.config.KeyDigest;
import io.samphiregauge.net.Address;
import io.samphiregauge.net.Codec;
import io.samphiregauge.net.OneShotHttpClient;
import io.samphiregauge.schema.config.Backend;
import io.samphiregauge.schema.config.BackendKind;
import io.samphiregauge.schema.config.Configuration;
import io.samphiregauge.schema.config.Model;
import io.samphiregauge.schema.config.Settings;
import io.samphiregauge.schema.config.Team;
import io.samphiregauge.schema.config.Withdrawal;
import io.samphiregauge.schema.record.Incarnation;
import io.samphiregauge.schema.record.LogRecord;
import io.samphiregauge.schema.record.Note;
import io.samphiregauge.standins.EngineStandin;
import io.samphiregauge.standins.LogStandin;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a request that fails end to end, and against an unknown key that is accepted. */
class EntryTest {
  private static final Address ANY = new Address("127.0.0.1", 0);
  private static final int MAX_TRIES = 1_000;
  private static final int TRY_INTERVAL_MS = 10;
  private static final Configuration EMPTY_CONFIGURATION =
      new Configuration(List.of(), List.of(), List.of(), List.of());
  private final NioEventLoopGroup logLoop = new NioEventLoopGroup(1);
  private final NioEventLoopGroup engineLoops = new NioEventLoopGroup(1);
  private LogStandin log;
  private EngineStandin engine;
  private Entry entry;

  @BeforeEach
  void start() {
    log = LogStandin.start(logLoop, ANY);
    engine = EngineStandin.start(engineLoops, ANY, 1);
    appendNote();
    entry = Entry.start(settings(), () -> System.nanoTime() / 1_000_000).value().orElseThrow();
  }

  @AfterEach
  void stop() {
    entry.close();
    engine.close();
    log.close();
    logLoop.shutdownGracefully();
    engineLoops.shutdownGracefully();
  }

  @Test
  void streamsTheWholeResponseToTheCaller() throws Exception {
    HttpResponse<String> response = completeOnceConfigured("secret");
    assertThat(response.statusCode()).isEqualTo(200);
    assertThat(response.body()).startsWith("data: {\"index\":0").endsWith("data: [DONE]\n\n");
    assertThat(response.body().lines().filter(line -> !line.isEmpty())).hasSize(6);
  }

  @Test
  void rejectsUnknownKeyAsNotRun() throws Exception {
    completeOnceConfigured("secret");
    HttpResponse<String> response = requestCompletion("other");
    assertThat(response.statusCode()).isEqualTo(401);
    assertThat(response.body()).contains("\"type\":\"unknown_key\"", "\"outcome\":\"not_run\"");
  }

  /**
   * Repeats the request until the entry has read the note; until then it is rejected as not run.
   */
  private HttpResponse<String> completeOnceConfigured(String key) throws Exception {
    HttpResponse<String> response = requestCompletion(key);
    for (int i = 0; i < MAX_TRIES && isUnconfigured(response); i++) {
      TimeUnit.MILLISECONDS.sleep(TRY_INTERVAL_MS);
      response = requestCompletion(key);
    }
    return response;
  }

  private static boolean isUnconfigured(HttpResponse<String> response) {
    return response.statusCode() == 401 || response.statusCode() == 503;
  }

  private HttpResponse<String> requestCompletion(String key) throws Exception {
    URI uri = URI.create("http://" + entry.address() + "/v1/completions");
    HttpRequest request =
        HttpRequest.newBuilder(uri)
            .header("Authorization", "Bearer " + key)
            .POST(HttpRequest.BodyPublishers.ofString("{\"model\":\"m1\",\"max_tokens\":5}"))
            .build();
    return HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
  }

  private void appendNote() {
    Team team = new Team("t1", List.of(KeyDigest.of("secret")), List.of("m1"), List.of(), 1.0);
    Model model = new Model("m1", List.of("1"), 10L, 30L);
    Backend backend =
        new Backend(
            "e1",
            BackendKind.ENGINE,
            engine.address().toString(),
            "a",
            List.of("m1"),
            false,
            true,
            1_000);
    Configuration added =
        new Configuration(List.of(team), List.of(model), List.of(), List.of(backend));
    Withdrawal nothing = new Withdrawal(List.of(), List.of(), List.of(), List.of(), List.of());
    Note note = new Note(-1L, "ops", added, EMPTY_CONFIGURATION, nothing);
    LogRecord record = new LogRecord(new Incarnation("operator", 1L, 1L), 1L, note);
    byte[] json = Codec.json().encode(record);
    var response =
        new OneShotHttpClient(engineLoops)
            .post(log.address(), "/v1/streams/control/records", json, 2_000)
            .join();
    assertThat(response.failure()).isEmpty();
  }

  private Settings settings() {
    return new Settings(
        "vm1",
        "luzon",
        "a",
        "127.0.0.1:0",
        "127.0.0.1:0",
        "http://" + log.address(),
        List.of(),
        200,
        100,
        5_000);
  }
}
