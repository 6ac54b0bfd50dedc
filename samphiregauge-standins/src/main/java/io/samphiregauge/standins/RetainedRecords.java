package io.samphiregauge.standins;

import io.samphiregauge.schema.peer.RecordAt;
import io.samphiregauge.schema.platform.RecordsPage;
import io.samphiregauge.schema.record.LogRecord;
import java.util.ArrayList;
import java.util.List;

/** Stores the records of the log that have not expired, at consecutive offsets. */
final class RetainedRecords {
  private static final int MAX_PAGE_RECORDS = 1_000;

  private final List<StoredRecord> records = new ArrayList<>();
  private long firstOffset;

  private record StoredRecord(RecordAt recordAt, long appendedMs) {}

  /** Appends a record and returns its offset. */
  long append(LogRecord record, long nowMs) {
    long offset = nextOffset();
    records.add(new StoredRecord(new RecordAt(offset, record), nowMs));
    return offset;
  }

  long nextOffset() {
    return firstOffset + records.size();
  }

  /** Removes the oldest records above a maximum count, and records older than a maximum age. */
  void expire(int retainRecords, long retainMs, long nowMs) {
    int expired = Math.max(0, records.size() - retainRecords);
    while (expired < records.size() && nowMs - records.get(expired).appendedMs() > retainMs) {
      expired++;
    }
    records.subList(0, expired).clear();
    firstOffset += expired;
  }

  /**
   * Returns a page that starts at an offset, or at the oldest record if that offset has expired.
   */
  RecordsPage page(long fromOffset) {
    int start = (int) Math.max(0, Math.min(records.size(), fromOffset - firstOffset));
    int end = Math.min(records.size(), start + MAX_PAGE_RECORDS);
    List<RecordAt> page = records.subList(start, end).stream().map(StoredRecord::recordAt).toList();
    return new RecordsPage(firstOffset, nextOffset(), page);
  }

  List<RecordAt> all() {
    return records.stream().map(StoredRecord::recordAt).toList();
  }
}
