package io.samphiregauge.daemon.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.nio.NioEventLoopGroup;
import io.samphiregauge.net.Address;
import io.samphiregauge.net.Codec;
import io.samphiregauge.schema.config.Backend;
import io.samphiregauge.schema.entry.DirectoryAnswer;
import io.samphiregauge.standins.EngineStandin;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Guards against streams that are lost, mixed up or truncated by a planned change. */
class StreamsDuringPlannedChangeTest {
  private static final int CALLERS = 200;
  private static final int STREAMS_PER_CALLER = 4;
  private static final int TOKENS = 50;
  private static final int TOKEN_INTERVAL_MS = 5;
  private static final int KEEP_MS = 1_000;
  private static final int MAX_CHECKS = 20_000;

  private final NioEventLoopGroup loops = new NioEventLoopGroup(3);
  private final AtomicInteger finished = new AtomicInteger();

  @Test
  void completesAllStreamsWhileAnEntryDrainsAndANoteIsApplied() throws Exception {
    ExecutorService threads = Executors.newFixedThreadPool(CALLERS);
    try (EngineStandin first = engine();
        EngineStandin second = engine();
        EngineStandin added = engine();
        TestEntry leaving = entry("vm1", first, second);
        TestEntry staying = entry("vm2", first, second)) {
      leaving.setMembers(List.of(leaving, staying));
      staying.setMembers(List.of(leaving, staying));
      List<CompletableFuture<List<String>>> callers =
          IntStream.range(0, CALLERS)
              .mapToObj(i -> CompletableFuture.supplyAsync(() -> run("u" + i, staying), threads))
              .toList();
      awaitFinished(CALLERS / 2);
      CompletableFuture<Void> drained = leaving.server.drain();
      staying.setMembers(List.of(staying));
      List<Backend> withNew =
          List.of(
              TestEntry.engine("e1", first.address()),
              TestEntry.engine("e2", second.address()),
              TestEntry.engine("e3", added.address()));
      leaving.configure(List.of(TestEntry.KEY, "new"), withNew);
      staying.configure(List.of(TestEntry.KEY, "new"), withNew);
      for (int i = 0; i < CALLERS; i++) {
        String expected = expectedBody("u" + i);
        assertThat(callers.get(i).get())
            .hasSize(STREAMS_PER_CALLER)
            .allSatisfy(body -> assertThat(body).isEqualTo(expected));
      }
      drained.get(30, TimeUnit.SECONDS);
      assertThat(leaving.outputTokens.get() + staying.outputTokens.get())
          .isEqualTo((long) CALLERS * STREAMS_PER_CALLER * TOKENS);
      assertThat(added.record().getRequests()).isNotEmpty();
    } finally {
      threads.shutdownNow();
      loops.shutdownGracefully();
    }
  }

  private EngineStandin engine() {
    return EngineStandin.start(loops, TestEntry.ANY, TOKEN_INTERVAL_MS);
  }

  private static TestEntry entry(String vm, EngineStandin first, EngineStandin second) {
    return new TestEntry(
        vm,
        2,
        KEEP_MS,
        List.of(TestEntry.engine("e1", first.address()), TestEntry.engine("e2", second.address())));
  }

  private void awaitFinished(int streams) throws InterruptedException {
    for (int i = 0; i < MAX_CHECKS && finished.get() < streams; i++) {
      TimeUnit.MILLISECONDS.sleep(1);
    }
  }

  /**
   * Queries the directory before each stream, as a caller does whose last directory response may be
   * out of date.
   */
  private List<String> run(String user, TestEntry directory) {
    return IntStream.range(0, STREAMS_PER_CALLER)
        .mapToObj(i -> stream(user, directory))
        .collect(Collectors.toList());
  }

  private String stream(String user, TestEntry directory) {
    String body = "{\"model\":\"m1\",\"user\":\"%s\",\"max_tokens\":%d}".formatted(user, TOKENS);
    try (RawCaller caller = connect(user, directory)) {
      RawCaller.Response response = caller.requestCompletion(body);
      finished.incrementAndGet();
      return response.complete() ? response.body() : "truncated: " + response;
    }
  }

  /**
   * Connects to the preferred entry. If the directory query or the connection fails, repeats both
   * once; the completion request has not been sent by then.
   */
  private static RawCaller connect(String user, TestEntry directory) {
    try {
      return new RawCaller(preferredAddress(user, directory));
    } catch (UncheckedIOException e) {
      return new RawCaller(preferredAddress(user, directory));
    }
  }

  private static Address preferredAddress(String user, TestEntry directory) {
    try (RawCaller caller = directory.caller()) {
      String headers = RawCaller.keyHeader(user);
      String body = caller.exchange("GET", "/v1/directory?tickets=0", headers, "").body();
      DirectoryAnswer response =
          Codec.json()
              .decode(body.getBytes(StandardCharsets.UTF_8), DirectoryAnswer.class)
              .value()
              .orElseThrow();
      return Address.parse(response.getAddresses().get(0).getAddress()).value().orElseThrow();
    }
  }

  private static String expectedBody(String user) {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < TOKENS; i++) {
      text.append("data: {\"index\":%d,\"text\":\"%s:t%d \"}\n\n".formatted(i, user, i));
    }
    return text.append("data: [DONE]\n\n").toString();
  }
}
