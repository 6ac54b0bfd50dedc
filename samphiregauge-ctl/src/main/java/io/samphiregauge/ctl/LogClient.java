package io.samphiregauge.ctl;

import io.samphiregauge.core.Step;
import io.samphiregauge.core.log.LogReader;
import io.samphiregauge.core.log.LogReader.ReadOutcome;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.net.Address;
import io.samphiregauge.net.Codec;
import io.samphiregauge.net.OneShotHttpClient;
import io.samphiregauge.schema.platform.AppendAnswer;
import io.samphiregauge.schema.platform.RecordsPage;
import io.samphiregauge.schema.record.LogRecord;
import java.util.List;
import java.util.Optional;

/** Reads the log and appends to it. */
final class LogClient {
  private static final String RECORDS = "/v1/streams/control/records";
  private static final int TIMEOUT_MS = 3_000;

  private final OneShotHttpClient caller;
  private final Address log;

  LogClient(OneShotHttpClient caller, Address log) {
    this.caller = caller;
    this.log = log;
  }

  Result<Long> append(LogRecord record) {
    return caller
        .post(log, RECORDS, Codec.json().encode(record), TIMEOUT_MS)
        .join()
        .flatMap(body -> Codec.json().decode(body, AppendAnswer.class))
        .map(AppendAnswer::getOffset);
  }

  /** Reads one page, and waits for a record where there is none. */
  Result<RecordsPage> page(long fromOffset, int waitMs) {
    String path = "%s?from=%d&wait_ms=%d".formatted(RECORDS, fromOffset, waitMs);
    return caller
        .get(log, path, waitMs + TIMEOUT_MS)
        .join()
        .flatMap(body -> Codec.json().decode(body, RecordsPage.class));
  }

  /** Reads from the newest checkpoint, or from the start, up to the end. */
  Result<LogView> readAll() {
    return readFrom(LogReader.atStart(), List.of());
  }

  /** Reads on after what was read before, up to the end. */
  Result<LogView> readOn(LogView view) {
    LogReader reader = new LogReader(view.state(), Optional.empty());
    return readFrom(reader, view.reads());
  }

  private Result<LogView> readFrom(LogReader reader, List<ReadOutcome> reads) {
    return page(reader.nextOffset(), 0).flatMap(page -> take(reader, page, reads));
  }

  private Result<LogView> take(LogReader reader, RecordsPage page, List<ReadOutcome> reads) {
    Step<LogReader, ReadOutcome> step = reader.read(page).prepend(reads);
    LogReader next = step.state();
    if (next.isCaughtUp(page)) {
      return Result.success(
          new LogView(next.state(), page.getFirstOffset(), page.getNextOffset(), step.actions()));
    }
    if (next.nextOffset() <= reader.nextOffset()) {
      return Result.failed(new CtlFailure.NoCheckpoint(page.getFirstOffset()));
    }
    return readFrom(next, step.actions());
  }
}
