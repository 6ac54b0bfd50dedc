package io.samphiregauge.replay;

import io.samphiregauge.schema.replay.TraceEvent;
import io.samphiregauge.schema.replay.TraceEventKind;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * Deterministic part of a generated trace: its phases and events.
 *
 * @param phases phases in order
 * @param events function from the failure domains of the deployment to the events
 * @param crashRequestsAtMs arrival times of one request that crashes engines, and of its retries by
 *     the caller
 */
record TraceShape(
    List<TracePhase> phases,
    Function<List<String>, List<TraceEvent>> events,
    List<Long> crashRequestsAtMs) {
  private static final List<TracePhase> SWING =
      List.of(
          TracePhase.calm(60),
          TracePhase.promptHeavy(75),
          TracePhase.outputHeavy(75),
          TracePhase.calm(30));

  /** Returns the shapes by name. */
  static Map<String, TraceShape> all() {
    Map<String, TraceShape> shapes = new TreeMap<>();
    shapes.put("calm", withoutEvents(List.of(TracePhase.calm(180))));
    shapes.put("swing", withoutEvents(SWING));
    shapes.put(
        "storm",
        withoutEvents(List.of(TracePhase.calm(60), TracePhase.storm(60), TracePhase.calm(60))));
    shapes.put("reclaim", withEvents(SWING, TraceShape::reclaimEvents));
    shapes.put("outage", withEvents(SWING, TraceShape::outageEvents));
    shapes.put(
        "crash",
        new TraceShape(
            List.of(TracePhase.calm(120)),
            domains -> List.of(),
            List.of(30_000L, 50_000L, 70_000L)));
    return shapes;
  }

  private static TraceShape withoutEvents(List<TracePhase> phases) {
    return withEvents(phases, domains -> List.of());
  }

  private static TraceShape withEvents(
      List<TracePhase> phases, Function<List<String>, List<TraceEvent>> events) {
    return new TraceShape(phases, events, List.of());
  }

  private static List<TraceEvent> reclaimEvents(List<String> domains) {
    return List.of(new TraceEvent(100_000, TraceEventKind.RECLAIM_DOMAIN, domains.get(1)));
  }

  private static List<TraceEvent> outageEvents(List<String> domains) {
    return List.of(
        new TraceEvent(50_000, TraceEventKind.LOG_OUTAGE, ""),
        new TraceEvent(170_000, TraceEventKind.LOG_BACK, ""));
  }
}
