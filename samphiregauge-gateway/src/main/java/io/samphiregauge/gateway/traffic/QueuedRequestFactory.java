package io.samphiregauge.gateway.traffic;

import io.netty.buffer.ByteBufUtil;
import io.samphiregauge.core.dispatch.Prompt;
import io.samphiregauge.core.dispatch.PromptPart;
import io.samphiregauge.core.queue.CallerAges;
import io.samphiregauge.core.queue.QueuedRequest;
import io.samphiregauge.core.room.WorkRequest;
import io.samphiregauge.core.site.Team;
import io.samphiregauge.core.suspect.Fingerprint;
import java.util.List;
import java.util.OptionalLong;

/** Describes routed requests for the decisions of a queue. */
final class QueuedRequestFactory {
  private QueuedRequestFactory() {}

  /**
   * Describes a request.
   *
   * @param routed the request
   * @param number its number, in the order of arrival
   * @param givesUpAtMs monotonic time in milliseconds at which its caller gives up
   * @param callerAges tells how long ago its caller made the first attempt
   */
  static QueuedRequest create(
      RoutedRequest routed, long number, long givesUpAtMs, CallerAges callerAges) {
    long arrivedAtMs = routed.arrivedAt().monotonicMs();
    // Whatever a caller claims, the route bounds how long it waits.
    OptionalLong remainingMs =
        routed.meta().deadlineMs().stream()
            .map(ms -> Math.min(ms, routed.route().timeoutMs()))
            .findFirst();
    long ageMs = callerAges.record(routed.route().name(), remainingMs);
    WorkRequest work =
        new WorkRequest(
            number,
            routed.service(),
            routed.team().map(Team::name).orElse(""),
            routed.rank(),
            routed.prompt().map(Prompt::tokens).orElse(0),
            routed.prompt().map(Prompt::maxOutputTokens).orElse(0),
            arrivedAtMs,
            arrivedAtMs - ageMs + routed.route().targetLatencyMs(),
            givesUpAtMs);
    return new QueuedRequest(
        work,
        routed.route().name(),
        lastOf(routed.prompt().map(Prompt::sharedParts).orElse(List.of())),
        callerKey(routed, number),
        routed.deadlineAtMs(),
        routed.httpRequest().content().readableBytes(),
        ageMs);
  }

  /**
   * A caller repeats a request with the same path and content, and with another identifier. A
   * request without content has a key of its own, because many callers send the same one.
   */
  private static String callerKey(RoutedRequest routed, long number) {
    if (routed.prompt().isEmpty() && !routed.httpRequest().content().isReadable()) {
      return "request " + number;
    }
    String team = routed.meta().teamKey().orElse("");
    String path = routed.httpRequest().method() + " " + routed.httpRequest().uri();
    return routed
        .prompt()
        .map(prompt -> team + " " + path + " " + lastOf(prompt.parts()))
        .orElseGet(
            () -> Fingerprint.of(team, path, ByteBufUtil.getBytes(routed.httpRequest().content())));
  }

  private static String lastOf(List<PromptPart> parts) {
    return parts.isEmpty() ? "" : parts.get(parts.size() - 1).id();
  }
}
