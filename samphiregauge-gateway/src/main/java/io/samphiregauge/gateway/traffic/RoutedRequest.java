package io.samphiregauge.gateway.traffic;

import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.FullHttpRequest;
import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.dispatch.Prompt;
import io.samphiregauge.core.dispatch.PromptPart;
import io.samphiregauge.core.site.SiteRoute;
import io.samphiregauge.core.site.Team;
import io.samphiregauge.core.suspect.Fingerprint;
import io.samphiregauge.core.suspect.RequestTraits;
import io.samphiregauge.gateway.port.RequestMeta;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A caller's request that was authenticated and has a route.
 *
 * @param httpRequest the request, released by the {@link ProxyExchange}
 * @param meta metadata from its headers
 * @param route the matching route
 * @param service service that was selected from the route
 * @param team team for which it runs; empty if the route does not require a key
 * @param prompt description of its prompt, if the service has model engines
 * @param arrivedAt time at which it was received completely
 * @param deadlineAtMs monotonic time, in milliseconds, by which the response must be complete
 */
record RoutedRequest(
    FullHttpRequest httpRequest,
    RequestMeta meta,
    SiteRoute route,
    String service,
    Optional<Team> team,
    Optional<Prompt> prompt,
    DualTimestamp arrivedAt,
    long deadlineAtMs) {

  /** Ranks per team priority; the priority of the route only decides within a team priority. */
  private static final int RANKS_PER_TEAM_PRIORITY = 3;

  private static final int LOWEST_RANK = 9;

  /** Limits the size of a crash report; parts with longer identifiers are only in the digest. */
  private static final int MAX_PART_ID_CHARS = 128;

  /**
   * Returns the rank in the queue of an engine, from 0, the most urgent, to 9. Within a team
   * priority, streams that callers resume go first: they have waited for them before.
   */
  int rank() {
    int firstTeamRank = team.map(Team::priority).orElse(0) * RANKS_PER_TEAM_PRIORITY;
    int routeRank = isResumption() ? 0 : Math.min(RANKS_PER_TEAM_PRIORITY - 1, route.priority());
    return Math.min(LOWEST_RANK, firstTeamRank + routeRank);
  }

  /** Returns whether the caller resumes a stream of which it has received events. */
  boolean isResumption() {
    return route.kind().isStream()
        && (meta.lastEventId().isPresent() || meta.resumedAttemptId().isPresent());
  }

  /** Computes the traits by which other requests that crash the same servers are recognised. */
  RequestTraits crashTraits() {
    List<String> values = new ArrayList<>();
    prompt.ifPresent(
        known ->
            known.sharedParts().stream()
                .map(PromptPart::id)
                .filter(id -> id.length() <= MAX_PART_ID_CHARS)
                .forEach(values::add));
    values.add(
        Fingerprint.of(
            meta.teamKey().orElse(""),
            httpRequest.method() + " " + httpRequest.uri(),
            ByteBufUtil.getBytes(httpRequest.content())));
    return new RequestTraits(values);
  }

  /** Returns the identifier of the caller's attempt for log lines, or {@code -}. */
  String attemptId() {
    return meta.attemptId().orElse("-");
  }
}
