package io.samphiregauge.standins;

import io.samphiregauge.schema.peer.RecordAt;
import io.samphiregauge.schema.platform.RecordsPage;
import io.samphiregauge.schema.record.LogRecord;
import java.util.ArrayList;
import java.util.List;

/** Records of the log that have not expired. */
final class RetainedRecords {
  private static final int MAX_PAGE_RECORDS = 1_000;

  private final List<Stored> stored = new ArrayList<>();
  private long firstOffset;

  private record Stored(RecordAt at, long appendedMs) {}

  long append(LogRecord record, long nowMs) {
    long offset = nextOffset();
    stored.add(new Stored(new RecordAt(offset, record), nowMs));
    return offset;
  }

  long nextOffset() {
    return firstOffset + stored.size();
  }

  void expire(int retainRecords, long retainMs, long nowMs) {
    int expired = Math.max(0, stored.size() - retainRecords);
    while (expired < stored.size() && nowMs - stored.get(expired).appendedMs() > retainMs) {
      expired++;
    }
    stored.subList(0, expired).clear();
    firstOffset += expired;
  }

  /** Returns a page from an offset, or from the oldest record where that one has expired. */
  RecordsPage page(long fromOffset) {
    int start = (int) Math.max(0, Math.min(stored.size(), fromOffset - firstOffset));
    int end = Math.min(stored.size(), start + MAX_PAGE_RECORDS);
    List<RecordAt> page = stored.subList(start, end).stream().map(Stored::at).toList();
    return new RecordsPage(firstOffset, nextOffset(), page);
  }

  List<RecordAt> all() {
    return stored.stream().map(Stored::at).toList();
  }
}
