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
  private static final String RECORDS = "/v1/streams/control/records";
  private static final int WAIT_MS = 1_000;
  private static final int READ_TIMEOUT_MS = 3_000;
  private static final int RETRY_MS = 200;

  private final EventLoopGroup loops;
  private final OneShotHttpClient caller;
  private final Address log;
  private final Clock clock;
  private final ControlLoop control;
  private volatile boolean closed;

  LogClient(EventLoopGroup loops, Address log, Clock clock, ControlLoop control) {
    this.loops = loops;
    this.caller = new OneShotHttpClient(loops);
    this.log = log;
    this.clock = clock;
    this.control = control;
  }

  /** Reads on from where the control state stands, until it is closed. */
  void follow() {
    if (closed) {
      return;
    }
    long sentMs = clock.nowMs();
    String path =
        RECORDS + "?from=%d&wait_ms=%d".formatted(control.snapshot().nextOffset(), WAIT_MS);
    caller
        .get(log, path, READ_TIMEOUT_MS)
        .thenAccept(body -> next(sentMs, body.flatMap(LogClient::decode)));
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
      answer(new LogWriter.Event.Acknowledged(call));
      return;
    }
    byte[] json = Codec.json().encode(rest.get(0));
    caller
        .post(log, RECORDS, json, (int) LogWriter.CALL_TIMEOUT_MS)
        .thenAccept(body -> appended(call, rest, body));
  }

  private void appended(long call, List<LogRecord> rest, Result<byte[]> body) {
    body.failure().ifPresent(failure -> warn("append_failed", failure));
    if (body.failure().isPresent()) {
      answer(new LogWriter.Event.Failed(call));
      return;
    }
    append(call, rest.subList(1, rest.size()));
  }

  private void answer(LogWriter.Event outcome) {
    control.post(new CoordinatorEvent.AppendCompleted(outcome));
  }

  private void next(long sentMs, Result<RecordsPage> page) {
    page.failure().ifPresent(failure -> warn("log_unreachable", failure));
    page.value()
        .ifPresentOrElse(
            read -> control.post(new CoordinatorEvent.PageRead(read, sentMs), this::follow),
            () -> loops.schedule(this::follow, RETRY_MS, TimeUnit.MILLISECONDS));
  }

  private static Result<RecordsPage> decode(byte[] bytes) {
    return Codec.json().decode(bytes, RecordsPage.class);
  }

  private static void warn(String event, Failure failure) {
    LOG.log(Level.WARNING, "event={0} reason=\"{1}\"", event, failure.message());
  }
}
