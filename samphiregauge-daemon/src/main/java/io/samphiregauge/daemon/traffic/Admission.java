package io.samphiregauge.daemon.traffic;

import io.samphiregauge.core.config.KeyDigest;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.schema.config.Service;
import io.samphiregauge.schema.config.Team;
import java.util.List;
import java.util.Optional;

/** Finds the team of a request and what it may reach, in the newest configuration. */
final class Admission {
  private static final String SCHEME = "Bearer ";

  private Admission() {}

  /** Finds the team of a key; an entry that is not fresh cannot know whether the key is valid. */
  static Result<Team> team(TrafficView view, Optional<String> authorization) {
    if (!view.fresh()) {
      return Result.failed(configurationUnknown());
    }
    return authorization
        .filter(value -> value.regionMatches(true, 0, SCHEME, 0, SCHEME.length()))
        .map(value -> KeyDigest.of(value.substring(SCHEME.length()).trim()))
        .flatMap(view.config()::teamOfKey)
        .<Result<Team>>map(Result::success)
        .orElseGet(
            () ->
                Result.failed(
                    EntryFailure.notRun(
                        401, "unknown_key", "The request has no key, or one that is not valid.")));
  }

  static EntryFailure configurationUnknown() {
    return EntryFailure.notRun(
        503,
        "configuration_unknown",
        "This entry cannot tell whether its configuration is in force.");
  }

  static Result<Team> mayUseModel(Team team, String model) {
    return allowed(
        team, anyIsVersionOf(team.getModels(), model), "model_not_allowed", "model", model);
  }

  static Result<Team> mayUseService(Team team, Service service) {
    return allowed(
        team,
        team.getServices().contains(service.getName()),
        "service_not_allowed",
        "service",
        service.getName());
  }

  static boolean anyIsVersionOf(List<String> names, String model) {
    for (String name : names) {
      if (isVersionOf(name, model)) {
        return true;
      }
    }
    return false;
  }

  /** Tells whether a name, or name@version, stands for the model that was asked for. */
  static boolean isVersionOf(String name, String model) {
    return name.startsWith(model)
        && (name.length() == model.length() || name.charAt(model.length()) == '@');
  }

  private static Result<Team> allowed(
      Team team, boolean allowed, String type, String kind, String name) {
    return allowed
        ? Result.success(team)
        : Result.failed(
            EntryFailure.notRun(
                403,
                type,
                "The team \"%s\" may not reach the %s \"%s\"."
                    .formatted(team.getName(), kind, name)));
  }
}
