package io.samphiregauge.daemon;

import io.netty.channel.EventLoopGroup;
import io.samphiregauge.core.Clock;
import io.samphiregauge.core.control.CoordinatorEvent;
import io.samphiregauge.core.log.LogWriter;
import io.samphiregauge.core.result.Failure;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.net.Address;
import io.samphiregauge.net.Codec;
import io.samphiregauge.net.OneShotHttpClient;
import io.samphiregauge.schema.platform.RecordsPage;
import io.samphiregauge.schema.record.LogRecord;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Adapter to the log service: reads it with long polls and appends records. */
final class LogClient implements AutoCloseable {
  private static final Logger LOG = System.getLogger(LogClient.class.getName());
  private static final String RECORDS_PATH = "/v1/streams/control/records";
  private static final int POLL_WAIT_MS = 1_000;
  private static final int READ_TIMEOUT_MS = 3_000;
  private static final int RETRY_DELAY_MS = 200;

  private final EventLoopGroup loops;
  private final OneShotHttpClient httpClient;
  private final Address logAddress;
  private final Clock clock;
  private final ControlLoop control;
  private volatile boolean closed;

  LogClient(EventLoopGroup loops, Address log, Clock clock, ControlLoop control) {
    this.loops = loops;
    this.httpClient = new OneShotHttpClient(loops);
    this.logAddress = log;
    this.clock = clock;
    this.control = control;
  }

  /** Reads on from where the control state stands, until it is closed. */
  void poll() {
    if (closed) {
      return;
    }
    long sentMs = clock.nowMs();
    String path =
        RECORDS_PATH
            + "?from=%d&wait_ms=%d".formatted(control.snapshot().nextOffset(), POLL_WAIT_MS);
    httpClient
        .get(logAddress, path, READ_TIMEOUT_MS)
        .thenAccept(body -> handlePage(sentMs, body.flatMap(LogClient::decode)));
  }

  /** Appends records one after another, so that a lost one keeps later ones out. */
  void append(LogWriter.Append call) {
    append(call.callId(), call.records());
  }

  @Override
  public void close() {
    closed = true;
  }

  private void append(long call, List<LogRecord> rest) {
    if (rest.isEmpty()) {
      postOutcome(new LogWriter.Event.Acknowledged(call));
      return;
    }
    byte[] json = Codec.json().encode(rest.get(0));
    httpClient
        .post(logAddress, RECORDS_PATH, json, (int) LogWriter.CALL_TIMEOUT_MS)
        .thenAccept(body -> handleAppendResponse(call, rest, body));
  }

  private void handleAppendResponse(long call, List<LogRecord> rest, Result<byte[]> body) {
    body.failure().ifPresent(failure -> logWarning("append_failed", failure));
    if (body.failure().isPresent()) {
      postOutcome(new LogWriter.Event.Failed(call));
      return;
    }
    append(call, rest.subList(1, rest.size()));
  }

  private void postOutcome(LogWriter.Event outcome) {
    control.post(new CoordinatorEvent.AppendCompleted(outcome));
  }

  private void handlePage(long sentMs, Result<RecordsPage> page) {
    page.failure().ifPresent(failure -> logWarning("log_unreachable", failure));
    page.value()
        .ifPresentOrElse(
            read -> control.post(new CoordinatorEvent.PageRead(read, sentMs), this::poll),
            () -> loops.schedule(this::poll, RETRY_DELAY_MS, TimeUnit.MILLISECONDS));
  }

  private static Result<RecordsPage> decode(byte[] bytes) {
    return Codec.json().decode(bytes, RecordsPage.class);
  }

  private static void logWarning(String event, Failure failure) {
    LOG.log(Level.WARNING, "event={0} reason=\"{1}\"", event, failure.message());
  }
}
