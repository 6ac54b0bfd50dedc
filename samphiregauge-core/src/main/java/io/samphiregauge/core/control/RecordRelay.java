package io.samphiregauge.core.control;

import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.log.FoldedState;
import io.samphiregauge.schema.peer.RecordAt;
import io.samphiregauge.schema.peer.RecordsReply;
import io.samphiregauge.schema.peer.RecordsRequest;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * Recent records that can be relayed to peers, and pending requests for records; immutable.
 *
 * @param recentRecords newest folded records, without a gap
 * @param pendingRequests send times of the pending requests, by request number
 * @param lastRequestNumber number of the newest request
 * @param nextRequestMs earliest time of the next request
 */
record RecordRelay(
    List<RecordAt> recentRecords,
    Map<Long, DualTimestamp> pendingRequests,
    long lastRequestNumber,
    long nextRequestMs) {

  /** Age of the last log contact of this process from which on it requests records from peers. */
  static final long REQUEST_AFTER_MS = 1_800;

  static final long REQUEST_PERIOD_MS = 500;
  private static final int MAX_RECENT_RECORDS = 1_000;

  /** Keeps replies far below the maximum frame size; a note rarely exceeds a few kilobytes. */
  private static final int MAX_REPLY_RECORDS = 64;

  private static final long NO_CONTACT = -1;
  private static final long REQUEST_TIMEOUT_MS = 5_000;

  RecordRelay {
    recentRecords = List.copyOf(recentRecords);
    pendingRequests = Collections.unmodifiableMap(new TreeMap<>(pendingRequests));
  }

  static RecordRelay empty() {
    return new RecordRelay(List.of(), Map.of(), 0, Long.MIN_VALUE);
  }

  RecordRelay withRecord(RecordAt recordAt) {
    List<RecordAt> records = new ArrayList<>(recentRecords);
    records.add(recordAt);
    int excess = Math.max(0, records.size() - MAX_RECENT_RECORDS);
    return new RecordRelay(
        records.subList(excess, records.size()), pendingRequests, lastRequestNumber, nextRequestMs);
  }

  RecordRelay withoutRecords() {
    return new RecordRelay(List.of(), pendingRequests, lastRequestNumber, nextRequestMs);
  }

  RecordRelay withRequest(DualTimestamp now) {
    Map<Long, DualTimestamp> pending = new TreeMap<>(pendingRequests);
    pending.values().removeIf(sentAt -> now.millisSince(sentAt) > REQUEST_TIMEOUT_MS);
    pending.put(lastRequestNumber + 1, now);
    return new RecordRelay(
        recentRecords, pending, lastRequestNumber + 1, now.monotonicMs() + REQUEST_PERIOD_MS);
  }

  RecordRelay withoutRequest(long requestNumber) {
    Map<Long, DualTimestamp> pending = new TreeMap<>(pendingRequests);
    pending.remove(requestNumber);
    return new RecordRelay(recentRecords, pending, lastRequestNumber, nextRequestMs);
  }

  Optional<DualTimestamp> sentAt(long requestNumber) {
    return Optional.ofNullable(pendingRequests.get(requestNumber));
  }

  /**
   * Creates the reply to a request: the requested records, or a checkpoint of the state if some of
   * them are no longer held. The age of the log contact is included only if the reply contains all
   * records up to that contact.
   */
  RecordsReply reply(RecordsRequest request, FoldedState state, OptionalLong contactAgeMs) {
    long afterOffset = request.getAfterOffset();
    long availableAfterOffset =
        recentRecords.isEmpty() ? state.upToOffset() : recentRecords.get(0).getOffset() - 1;
    List<RecordAt> newerRecords =
        recentRecords.stream().filter(recordAt -> recordAt.getOffset() > afterOffset).toList();
    boolean complete =
        afterOffset >= availableAfterOffset && newerRecords.size() <= MAX_REPLY_RECORDS;
    long ageMs = complete ? contactAgeMs.orElse(NO_CONTACT) : NO_CONTACT;
    Long requestNumber = request.getNumber().orElse(0L);
    if (afterOffset >= availableAfterOffset) {
      List<RecordAt> batch =
          newerRecords.subList(0, Math.min(newerRecords.size(), MAX_REPLY_RECORDS));
      return new RecordsReply(afterOffset, ageMs, batch, null, requestNumber);
    }
    return new RecordsReply(
        afterOffset,
        contactAgeMs.orElse(NO_CONTACT),
        List.of(),
        state.toCheckpoint(),
        requestNumber);
  }
}
