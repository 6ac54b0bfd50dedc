package io.samphiregauge.replay;

import io.samphiregauge.schema.replay.TraceEvent;
import io.samphiregauge.schema.replay.TraceRequest;
import java.util.List;

/**
 * Trace of requests and fault events, each list in order of time.
 *
 * @param name name of the trace
 * @param requests requests that arrive
 * @param events events that change engines, entries or the log
 */
public record Trace(String name, List<TraceRequest> requests, List<TraceEvent> events) {
  /** Creates a trace with copies of the lists. */
  public Trace {
    requests = List.copyOf(requests);
    events = List.copyOf(events);
  }

  /** Returns a trace with the same requests and no events. */
  Trace withoutEvents() {
    return new Trace(name, requests, List.of());
  }

  /** Returns the time of the last arrival in milliseconds; 0 without requests. */
  long endMs() {
    return requests.isEmpty() ? 0 : requests.get(requests.size() - 1).getAtMs();
  }

  /** Returns the names of the teams in alphabetical order. */
  List<String> teams() {
    return requests.stream().map(TraceRequest::getTeam).distinct().sorted().toList();
  }
}
