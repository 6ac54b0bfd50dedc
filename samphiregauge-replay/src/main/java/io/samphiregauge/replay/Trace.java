package io.samphiregauge.replay;

import io.samphiregauge.schema.replay.TraceEvent;
import io.samphiregauge.schema.replay.TraceRequest;
import java.util.List;

/**
 * Requests and events, each list in order of time.
 *
 * @param name name of the trace
 * @param requests requests
 * @param events events
 */
public record Trace(String name, List<TraceRequest> requests, List<TraceEvent> events) {
  /** Copies the lists. */
  public Trace {
    requests = List.copyOf(requests);
    events = List.copyOf(events);
  }

  /** Returns the same requests without the events. */
  Trace withoutEvents() {
    return new Trace(name, requests, List.of());
  }

  /** Returns the time of the last arrival in milliseconds. */
  long endMs() {
    return requests.isEmpty() ? 0 : requests.get(requests.size() - 1).getAtMs();
  }

  /** Returns the names of the teams in order. */
  List<String> teams() {
    return requests.stream().map(TraceRequest::getTeam).distinct().sorted().toList();
  }
}
