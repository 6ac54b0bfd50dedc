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

/**
 * Blocking client of the log service: reads the control log over HTTP and appends to it. Each call
 * blocks until its response arrives or its timeout expires.
 */
final class BlockingLogClient {
  private static final String RECORDS = "/v1/streams/control/records";
  private static final int TIMEOUT_MS = 3_000;

  private final OneShotHttpClient client;
  private final Address address;

  BlockingLogClient(OneShotHttpClient client, Address address) {
    this.client = client;
    this.address = address;
  }

  Result<Long> append(LogRecord record) {
    return client
        .post(address, RECORDS, Codec.json().encode(record), TIMEOUT_MS)
        .join()
        .flatMap(body -> Codec.json().decode(body, AppendAnswer.class))
        .map(AppendAnswer::getOffset);
  }

  /**
   * Reads one page of records.
   *
   * @param waitMs milliseconds that the log service waits for a record if there is none yet
   */
  Result<RecordsPage> readPage(long fromOffset, int waitMs) {
    String path = "%s?from=%d&wait_ms=%d".formatted(RECORDS, fromOffset, waitMs);
    return client
        .get(address, path, waitMs + TIMEOUT_MS)
        .join()
        .flatMap(body -> Codec.json().decode(body, RecordsPage.class));
  }

  /** Reads the log up to its end, starting at a checkpoint if its first records have expired. */
  Result<LogView> readAll() {
    return readFrom(LogReader.atStart(), List.of());
  }

  /** Reads the records after those of a view, up to the end of the log. */
  Result<LogView> readNewRecords(LogView view) {
    LogReader reader = new LogReader(view.state(), Optional.empty());
    return readFrom(reader, view.outcomes());
  }

  private Result<LogView> readFrom(LogReader reader, List<ReadOutcome> outcomes) {
    return readPage(reader.nextOffset(), 0).flatMap(page -> applyPage(reader, page, outcomes));
  }

  private Result<LogView> applyPage(
      LogReader reader, RecordsPage page, List<ReadOutcome> outcomes) {
    Step<LogReader, ReadOutcome> step = reader.read(page).prepend(outcomes);
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
