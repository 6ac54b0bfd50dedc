package io.samphiregauge.core.config;

import io.samphiregauge.schema.config.Team;
import java.util.List;

/** Creates modified copies of teams, because the generated class is immutable. */
final class TeamCopies {
  private TeamCopies() {}

  static Team withKeys(Team team, List<String> keyDigests) {
    return new Team(
        team.getName(),
        keyDigests,
        team.getModels(),
        team.getServices(),
        team.getWeight(),
        team.getRequestsPerSecond().orElse(null),
        team.getMaxConcurrent().orElse(null),
        team.getSpendPerHourMicros().orElse(null));
  }
}
