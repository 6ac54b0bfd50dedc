package io.samphiregauge.gateway.traffic;

import io.netty.handler.codec.http.FullHttpRequest;
import io.samphiregauge.core.dispatch.Prompt;
import io.samphiregauge.core.site.SiteRoute;
import io.samphiregauge.core.site.Team;
import io.samphiregauge.gateway.DualTimestamp;
import io.samphiregauge.gateway.port.RequestMeta;
import java.util.Optional;

/**
 * A caller's request that is allowed to run.
 *
 * @param httpRequest the request, which the exchange releases
 * @param meta what its head says beside method and path
 * @param route its route
 * @param service its service
 * @param team team that it runs for; empty on an open route
 * @param prompt its prompt, if the service has model engines
 * @param arrivedAt when it had arrived whole
 * @param deadlineAtMs monotonic time at which it must be answered
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

  /** Ranks of teams come before those of routes. */
  private static final int RANKS_PER_TEAM_PRIORITY = 3;

  private static final int LOWEST_RANK = 9;

  /** Returns the urgency among all requests of an engine, 0 is the most urgent. */
  int rank() {
    int firstTeamRank = team.map(Team::priority).orElse(0) * RANKS_PER_TEAM_PRIORITY;
    return Math.min(
        LOWEST_RANK, firstTeamRank + Math.min(RANKS_PER_TEAM_PRIORITY - 1, route.priority()));
  }

  /** Returns the identifier of the caller's try, for log lines. */
  String attemptId() {
    return meta.attemptId().orElse("-");
  }
}
