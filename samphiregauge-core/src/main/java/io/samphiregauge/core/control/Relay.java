package io.samphiregauge.core.control;

import io.samphiregauge.core.log.FoldedState;
import io.samphiregauge.schema.peer.RecordAt;
import io.samphiregauge.schema.peer.RecordsReply;
import io.samphiregauge.schema.peer.RecordsRequest;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * Records that this process can pass on, and its open requests to peers; immutable.
 *
 * @param recent newest folded records, without a gap
 * @param requests times of open requests, by number
 * @param number number of the newest request
 * @param nextRequestMs earliest time of the next request
 */
record Relay(List<RecordAt> recent, Map<Long, Long> requests, long number, long nextRequestMs) {

  /** Age of the own log contact from which on peers are asked for records. */
  static final long ASK_AFTER_MS = 1_800;

  static final long ASK_PERIOD_MS = 500;
  private static final int RECENT_RECORDS = 1_000;

  /** Keeps a reply far below the largest frame; a note rarely exceeds a few kilobytes. */
  private static final int REPLY_RECORDS = 64;

  private static final long NO_CONTACT = -1;
  private static final long REQUEST_LIFE_MS = 5_000;

  Relay {
    recent = List.copyOf(recent);
    requests = Collections.unmodifiableMap(new TreeMap<>(requests));
  }

  static Relay none() {
    return new Relay(List.of(), Map.of(), 0, Long.MIN_VALUE);
  }

  Relay folded(RecordAt at) {
    List<RecordAt> next = new ArrayList<>(recent);
    next.add(at);
    int excess = Math.max(0, next.size() - RECENT_RECORDS);
    return new Relay(next.subList(excess, next.size()), requests, number, nextRequestMs);
  }

  Relay restored() {
    return new Relay(List.of(), requests, number, nextRequestMs);
  }

  Relay asked(long nowMs) {
    Map<Long, Long> open = new TreeMap<>(requests);
    open.values().removeIf(sentMs -> nowMs - sentMs > REQUEST_LIFE_MS);
    open.put(number + 1, nowMs);
    return new Relay(recent, open, number + 1, nowMs + ASK_PERIOD_MS);
  }

  Relay answered(long requestNumber) {
    Map<Long, Long> open = new TreeMap<>(requests);
    open.remove(requestNumber);
    return new Relay(recent, open, number, nextRequestMs);
  }

  OptionalLong sentMs(long requestNumber) {
    return requests.containsKey(requestNumber)
        ? OptionalLong.of(requests.get(requestNumber))
        : OptionalLong.empty();
  }

  /**
   * Answers a request. The age of the log contact goes with it only if the reply holds all records
   * up to that contact.
   */
  RecordsReply reply(RecordsRequest request, FoldedState state, OptionalLong contactAgeMs) {
    long after = request.getAfterOffset();
    long reachesBackTo = recent.isEmpty() ? state.upToOffset() : recent.get(0).getOffset() - 1;
    List<RecordAt> newer = recent.stream().filter(at -> at.getOffset() > after).toList();
    boolean whole = after >= reachesBackTo && newer.size() <= REPLY_RECORDS;
    long age = whole ? contactAgeMs.orElse(NO_CONTACT) : NO_CONTACT;
    Long requestNumber = request.getNumber().orElse(0L);
    if (after >= reachesBackTo) {
      List<RecordAt> some = newer.subList(0, Math.min(newer.size(), REPLY_RECORDS));
      return new RecordsReply(after, age, some, null, requestNumber);
    }
    return new RecordsReply(
        after, contactAgeMs.orElse(NO_CONTACT), List.of(), state.toCheckpoint(), requestNumber);
  }
}
