package io.samphiregauge.daemon;

import io.netty.channel.EventLoopGroup;
import io.samphiregauge.core.DualTimestamp;
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

/** Client of the log service: reads records by long polling and appends records. */
final class LogClient implements AutoCloseable {
  private static final Logger LOG = System.getLogger(LogClient.class.getName());
  private static final String RECORDS_PATH = "/v1/streams/control/records";
  private static final int POLL_WAIT_MS = 1_000;
  private static final int READ_TIMEOUT_MS = 3_000;
  private static final int RETRY_DELAY_MS = 200;

  private final EventLoopGroup loops;
  private final OneShotHttpClient httpClient;
  private final Address logAddress;
  private final ControlLoop control;
  private volatile boolean closed;

  LogClient(EventLoopGroup loops, Address logAddress, ControlLoop control) {
    this.loops = loops;
    this.httpClient = new OneShotHttpClient(loops);
    this.logAddress = logAddress;
    this.control = control;
  }

  /** Reads from the next offset of the control state, repeatedly until this client is closed. */
  void poll() {
    if (closed) {
      return;
    }
    DualTimestamp sentAt = control.now();
    String path =
        RECORDS_PATH
            + "?from=%d&wait_ms=%d".formatted(control.snapshot().nextOffset(), POLL_WAIT_MS);
    httpClient
        .get(logAddress, path, READ_TIMEOUT_MS)
        .thenAccept(response -> handlePage(sentAt, response.flatMap(LogClient::decode)));
  }

  /** Appends records one by one; after a failed append, the rest are not sent. */
  void append(LogWriter.Append append) {
    append(append.callId(), append.records());
  }

  @Override
  public void close() {
    closed = true;
  }

  private void append(long callId, List<LogRecord> remaining) {
    if (remaining.isEmpty()) {
      postOutcome(new LogWriter.Event.Acknowledged(callId));
      return;
    }
    byte[] json = Codec.json().encode(remaining.get(0));
    httpClient
        .post(logAddress, RECORDS_PATH, json, (int) LogWriter.CALL_TIMEOUT_MS)
        .thenAccept(response -> handleAppendResponse(callId, remaining, response));
  }

  private void handleAppendResponse(
      long callId, List<LogRecord> remaining, Result<byte[]> response) {
    response.failure().ifPresent(failure -> logWarning("append_failed", failure));
    if (response.failure().isPresent()) {
      postOutcome(new LogWriter.Event.Failed(callId));
      return;
    }
    append(callId, remaining.subList(1, remaining.size()));
  }

  private void postOutcome(LogWriter.Event event) {
    control.post(new CoordinatorEvent.AppendCompleted(event));
  }

  private void handlePage(DualTimestamp sentAt, Result<RecordsPage> page) {
    page.failure().ifPresent(failure -> logWarning("log_unreachable", failure));
    page.value()
        .ifPresentOrElse(
            recordsPage ->
                control.post(new CoordinatorEvent.PageRead(recordsPage, sentAt), this::poll),
            () -> loops.schedule(this::poll, RETRY_DELAY_MS, TimeUnit.MILLISECONDS));
  }

  private static Result<RecordsPage> decode(byte[] bytes) {
    return Codec.json().decode(bytes, RecordsPage.class);
  }

  private static void logWarning(String event, Failure failure) {
    LOG.log(Level.WARNING, "event={0} reason=\"{1}\"", event, failure.message());
  }
}
