package io.samphiregauge.daemon.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.nio.NioEventLoopGroup;
import io.samphiregauge.standins.EngineStandin;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Guards against a graceful shutdown that interrupts a request or never completes. */
class DrainTest {
  private static final int STREAMS = 20;
  private static final int MAX_CHECKS = 10_000;
  private static final String BODY = "{\"model\":\"m1\",\"max_tokens\":100}";

  @Test
  void completesRunningStreamsBeforeClosing() throws Exception {
    NioEventLoopGroup loops = new NioEventLoopGroup(2);
    ExecutorService callers = Executors.newFixedThreadPool(STREAMS);
    try (EngineStandin engine = EngineStandin.start(loops, TestEntry.ANY, 2);
        TestEntry entry =
            new TestEntry("vm1", 2, 50, List.of(TestEntry.engine("e1", engine.address())));
        RawCaller idle = entry.caller();
        RawCaller silent = entry.caller()) {
      assertThat(idle.exchange("GET", "/readyz", "", "").status()).isEqualTo(200);
      List<CompletableFuture<RawCaller.Response>> streams =
          IntStream.range(0, STREAMS)
              .mapToObj(i -> CompletableFuture.supplyAsync(() -> requestCompletion(entry), callers))
              .toList();
      for (int i = 0; i < MAX_CHECKS && runningCalls(entry) < STREAMS; i++) {
        TimeUnit.MILLISECONDS.sleep(1);
      }
      CompletableFuture<Void> drained = entry.server.drain();
      RawCaller.Response directory = idle.exchange("GET", "/v1/directory", "", "");
      assertThat(directory.body()).contains("\"addresses\":[]");
      assertThat(directory.head().toLowerCase(Locale.ROOT)).contains("connection: close");
      for (CompletableFuture<RawCaller.Response> stream : streams) {
        assertThat(stream.get().complete()).isTrue();
        assertThat(stream.get().body()).endsWith("data: [DONE]\n\n");
      }
      drained.get(20, TimeUnit.SECONDS);
      assertThat(silent.isClosed()).isTrue();
    } finally {
      callers.shutdown();
      loops.shutdownGracefully();
    }
  }

  private static int runningCalls(TestEntry entry) {
    return (Integer) entry.server.metrics().values().get("running_calls");
  }

  private static RawCaller.Response requestCompletion(TestEntry entry) {
    try (RawCaller caller = entry.caller()) {
      return caller.requestCompletion(BODY);
    }
  }
}
