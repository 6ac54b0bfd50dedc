package io.samphiregauge.daemon.traffic;

import io.samphiregauge.core.config.KeyDigest;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.schema.config.Service;
import io.samphiregauge.schema.config.Team;
import java.util.List;
import java.util.Optional;

/** Authenticates the team of a request and authorizes its target by the current configuration. */
final class AccessControl {
  private static final String BEARER_PREFIX = "Bearer ";

  private AccessControl() {}

  /**
   * Returns the team of a bearer key. Fails without checking the key while the view is not fresh,
   * since the key may have been withdrawn meanwhile.
   */
  static Result<Team> authenticate(TrafficView view, Optional<String> authorization) {
    if (!view.fresh()) {
      return Result.failed(configurationUnknown());
    }
    return authorization
        .filter(header -> header.regionMatches(true, 0, BEARER_PREFIX, 0, BEARER_PREFIX.length()))
        .map(header -> KeyDigest.of(header.substring(BEARER_PREFIX.length()).trim()))
        .flatMap(view.config()::teamOfKey)
        .<Result<Team>>map(Result::success)
        .orElseGet(
            () ->
                Result.failed(
                    EntryFailure.notRun(
                        401, "unknown_key", "The request has no valid bearer key.")));
  }

  static EntryFailure configurationUnknown() {
    return EntryFailure.notRun(
        503,
        "configuration_unknown",
        "This entry cannot confirm that its configuration is current.");
  }

  static Result<Team> authorizeModel(Team team, String model) {
    return authorize(
        team, anyMatchesModel(team.getModels(), model), "model_not_allowed", "model", model);
  }

  static Result<Team> authorizeService(Team team, Service service) {
    return authorize(
        team,
        team.getServices().contains(service.getName()),
        "service_not_allowed",
        "service",
        service.getName());
  }

  static boolean anyMatchesModel(List<String> names, String model) {
    for (String name : names) {
      if (matchesModel(name, model)) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether a configured name, with or without {@code @version}, is the given model. */
  static boolean matchesModel(String name, String model) {
    return name.startsWith(model)
        && (name.length() == model.length() || name.charAt(model.length()) == '@');
  }

  private static Result<Team> authorize(
      Team team, boolean allowed, String type, String kind, String name) {
    return allowed
        ? Result.success(team)
        : Result.failed(
            EntryFailure.notRun(
                403,
                type,
                "Team \"%s\" is not allowed to use %s \"%s\"."
                    .formatted(team.getName(), kind, name)));
  }
}
