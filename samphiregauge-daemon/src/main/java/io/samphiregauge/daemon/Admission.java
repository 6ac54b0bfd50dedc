package io.samphiregauge.daemon;

import io.samphiregauge.core.config.ConfigView;
import io.samphiregauge.core.config.KeyDigest;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.schema.config.Team;
import java.util.Optional;

/** Finds the team of a request and what it may reach. */
final class Admission {
  private static final String BEARER = "Bearer ";

  private Admission() {}

  static Result<Team> team(ConfigView config, Optional<String> authorization) {
    return authorization
        .filter(value -> value.startsWith(BEARER))
        .map(value -> KeyDigest.of(value.substring(BEARER.length()).trim()))
        .flatMap(config::teamOfKey)
        .<Result<Team>>map(Result::success)
        .orElseGet(
            () ->
                Result.failed(
                    EntryFailure.notRun(
                        401, "unknown_key", "The request has no key, or one that is not valid.")));
  }

  static Result<Team> mayUse(Team team, String model) {
    boolean allowed =
        team.getModels().stream().anyMatch(m -> m.equals(model) || m.startsWith(model + "@"));
    return allowed
        ? Result.success(team)
        : Result.failed(
            EntryFailure.notRun(
                403,
                "model_not_allowed",
                "The team \"%s\" may not reach the model \"%s\"."
                    .formatted(team.getName(), model)));
  }
}
