package io.samphiregauge.standins;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.nio.NioEventLoopGroup;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.net.Codec;
import io.samphiregauge.net.NetFailure;
import io.samphiregauge.net.OneShotHttpClient;
import io.samphiregauge.schema.platform.AppendAnswer;
import io.samphiregauge.schema.platform.RecordsPage;
import io.samphiregauge.schema.record.Ended;
import io.samphiregauge.schema.record.Incarnation;
import io.samphiregauge.schema.record.LogRecord;
import io.samphiregauge.schema.standin.LogFaults;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against a log stand-in that is more reliable than the platform's log service may be. */
class LogStandinTest {
  private static final String RECORDS_PATH = "/v1/streams/control/records";
  private static final Incarnation WRITER = new Incarnation("vm1", 1L, 1L);

  private final NioEventLoopGroup loops = new NioEventLoopGroup(2);
  private final TestHttpClient http = new TestHttpClient(loops);
  private final LogStandin log = LogStandin.start(loops, TestHttpClient.ANY_PORT);

  @AfterEach
  void stop() {
    log.close();
    loops.shutdownGracefully();
  }

  @Test
  void storesAppendWhoseResponseIsDropped() {
    setFaults("{\"loseAnswers\":1}");
    assertThat(append(1).failure()).containsInstanceOf(NetFailure.NoAnswer.class);
    assertThat(append(2).map(AppendAnswer::getOffset).value()).contains(1L);
  }

  @Test
  void storesAppendTwiceWhenDuplicateFaultIsSet() {
    setFaults("{\"duplicateAppends\":1}");
    append(1);
    assertThat(log.records()).hasSize(2);
    assertThat(log.records().get(1).getRecord().getSequence()).isEqualTo(1);
  }

  @Test
  void refusesAppendWhenFaultFunctionStoresNoCopy() {
    log.setAppendFault(record -> new AppendFault.Effect(0, true, 0));
    assertThat(append(1).failure()).containsInstanceOf(NetFailure.Refused.class);
    assertThat(log.records()).isEmpty();
  }

  @Test
  void reportsOldestOffsetAfterRecordsExpire() {
    setFaults("{\"retainRecords\":2}");
    for (int i = 1; i <= 5; i++) {
      append(i);
    }
    RecordsPage page = read(0, 0).value().orElseThrow();
    assertThat(page.getFirstOffset()).isEqualTo(3);
    assertThat(page.getNextOffset()).isEqualTo(5);
    assertThat(page.getRecords().get(0).getOffset()).isEqualTo(3);
  }

  @Test
  void failsRequestsDuringOutageAndKeepsRecords() {
    append(1);
    setFaults("{\"down\":true}");
    assertThat(append(2).failure()).isPresent();
    assertThat(read(0, 0).failure()).isPresent();
    setFaults("{\"down\":false}");
    assertThat(read(0, 0).map(page -> page.getRecords().size()).value()).contains(1);
  }

  @Test
  void refusesAppendsAboveRateLimit() {
    setFaults("{\"appendsPerSecond\":1}");
    assertThat(append(1).failure()).isEmpty();
    assertThat(append(2).failure()).containsInstanceOf(NetFailure.Refused.class);
  }

  @Test
  void completesLongPollWhenRecordArrives() {
    var poll =
        new OneShotHttpClient(loops)
            .get(log.address(), RECORDS_PATH + "?from=0&wait_ms=60000", 60_000);
    append(1);
    RecordsPage page =
        poll.join()
            .flatMap(body -> Codec.json().decode(body, RecordsPage.class))
            .value()
            .orElseThrow();
    assertThat(page.getRecords()).hasSize(1);
  }

  private Result<AppendAnswer> append(long sequence) {
    LogRecord record = new LogRecord(WRITER, sequence, new Ended(WRITER));
    return http.post(log.address(), RECORDS_PATH, record, AppendAnswer.class);
  }

  private Result<RecordsPage> read(long from, long waitMs) {
    String query = "?from=%d&wait_ms=%d".formatted(from, waitMs);
    return http.get(log.address(), RECORDS_PATH + query, RecordsPage.class);
  }

  /** Sets faults over the control path, which must also work during an outage. */
  private void setFaults(String json) {
    LogFaults faults =
        Codec.json()
            .decode(json.getBytes(StandardCharsets.UTF_8), LogFaults.class)
            .value()
            .orElseThrow();
    assertThat(http.post(log.address(), "/control/faults", faults, String.class).value())
        .contains("set");
  }
}
