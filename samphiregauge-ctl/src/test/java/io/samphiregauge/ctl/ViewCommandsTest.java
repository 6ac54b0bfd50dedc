package io.samphiregauge.ctl;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.nio.NioEventLoopGroup;
import io.samphiregauge.net.Address;
import io.samphiregauge.net.Codec;
import io.samphiregauge.net.OneShotHttpClient;
import io.samphiregauge.schema.RecordBody;
import io.samphiregauge.schema.record.Incarnation;
import io.samphiregauge.schema.record.Joined;
import io.samphiregauge.schema.record.LeaseClaim;
import io.samphiregauge.schema.record.LogRecord;
import io.samphiregauge.schema.record.UsageFigure;
import io.samphiregauge.schema.record.UsageReportIntent;
import io.samphiregauge.schema.record.UsageReported;
import io.samphiregauge.schema.record.UsageSealed;
import io.samphiregauge.standins.LogStandin;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Verifies that status and usage show accepted records only, and that status shows why an entry or
 * the log is unavailable.
 */
class ViewCommandsTest {
  private static final Incarnation WRITER = new Incarnation("vm1", 1L, 1L);
  private static final String UNREACHABLE_ADDRESS = "127.0.0.1:1";

  private final NioEventLoopGroup loops = new NioEventLoopGroup(1);
  private final LogStandin log = LogStandin.start(loops, new Address("127.0.0.1", 0));
  private long lastSequence;

  /** Seals two windows, reports only the first, and appends a second seal of the first. */
  @BeforeEach
  void appendRecords() {
    append(new Joined("luzon", "luzon-a", UNREACHABLE_ADDRESS, UNREACHABLE_ADDRESS));
    append(new LeaseClaim("usage/luzon", -1L, 10_000L));
    append(sealed(7, 100));
    append(new UsageReportIntent("luzon", 7L, 1L));
    append(new UsageReported("luzon", 7L, 1L));
    append(sealed(8, 200));
    append(sealed(7, 999));
  }

  @AfterEach
  void stop() {
    log.close();
    loops.shutdownGracefully();
  }

  @Test
  void listsOnlyUsageThatTheFoldAccepted() {
    JsonNode lines = ctl("usage", "--json").json().path("lines");
    assertThat(lines).hasSize(2);
    assertThat(lines.get(0).path("reported").asBoolean()).isTrue();
    assertThat(lines.get(0).path("figure").path("requests").asLong()).isEqualTo(100);
    assertThat(lines.get(1).path("reported").asBoolean()).isFalse();
    assertThat(ctl("usage").out()).contains("luzon", "t1", "200").doesNotContain("999");
  }

  @Test
  void showsTheProblemOfAnUnreachableEntry() {
    CommandRun run = ctl("status");
    assertThat(run.status()).isZero();
    assertThat(run.out()).contains("vm1", "luzon-a", "no connection", "usage/luzon");
  }

  @Test
  void showsNamedEntriesWhenTheLogIsUnavailable() {
    log.close();
    CommandRun run = ctl("status", "--entry", UNREACHABLE_ADDRESS, "--json");
    assertThat(run.status()).isZero();
    assertThat(run.json().path("problem").asText()).contains("no connection");
    assertThat(run.json().path("entries").get(0).path("problem").asText())
        .contains(UNREACHABLE_ADDRESS);
  }

  private UsageSealed sealed(long window, long requests) {
    UsageFigure figure = new UsageFigure("t1", "m1", requests, 10L, 20L, 30L);
    return new UsageSealed("luzon", window, 1L, List.of(figure), List.of());
  }

  private void append(RecordBody body) {
    lastSequence++;
    byte[] json = Codec.json().encode(new LogRecord(WRITER, lastSequence, body));
    var response =
        new OneShotHttpClient(loops)
            .post(log.address(), "/v1/streams/control/records", json, 10_000)
            .join();
    assertThat(response.failure()).isEmpty();
  }

  private CommandRun ctl(String... args) {
    return CommandRun.run(Map.of(CommonOptions.LOG_VARIABLE, "http://" + log.address()), args);
  }
}
