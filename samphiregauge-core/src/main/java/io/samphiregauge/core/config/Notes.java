package io.samphiregauge.core.config;

import io.samphiregauge.core.result.Result;
import io.samphiregauge.schema.config.Backend;
import io.samphiregauge.schema.config.Configuration;
import io.samphiregauge.schema.config.FleetPolicy;
import io.samphiregauge.schema.config.Model;
import io.samphiregauge.schema.config.Service;
import io.samphiregauge.schema.config.Team;
import io.samphiregauge.schema.config.Withdrawal;
import io.samphiregauge.schema.record.Note;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;

/** Applies notes to the configuration and validates the result. */
public final class Notes {
  private Notes() {}

  /**
   * Applies a note. The result depends only on the arguments, so that all processes agree on it.
   *
   * @param view current configuration
   * @param note the note
   * @return the new configuration, or a {@link NoteFailure} if the note is rejected
   */
  public static Result<ConfigView> apply(ConfigView view, Note note) {
    Withdrawal withdrawn = note.getWithdrawn();
    Configuration added = note.getAdded();
    Configuration changed = note.getChanged();
    Merge<Team> teams =
        Merge.of("team", Team::getName, view.teams())
            .withdraw(withdrawn.getTeams())
            .add(added.getTeams())
            .change(changed.getTeams());
    Merge<Model> models =
        Merge.of("model", Model::getName, view.models())
            .withdraw(withoutVersion(withdrawn.getModels()))
            .add(added.getModels())
            .change(changed.getModels());
    Merge<Service> services =
        Merge.of("service", Service::getName, view.services())
            .withdraw(withdrawn.getServices())
            .add(added.getServices())
            .change(changed.getServices());
    Merge<Backend> backends =
        Merge.of("backend server", Backend::getName, view.backends())
            .withdraw(withdrawn.getBackends())
            .add(added.getBackends())
            .change(changed.getBackends());
    Optional<NoteFailure> failure =
        firstOf(teams.failure, models.failure, services.failure, backends.failure);
    if (failure.isPresent()) {
      return Result.failed(failure.get());
    }
    Optional<FleetPolicy> policy =
        changed.getFleetPolicy().or(added::getFleetPolicy).or(view::fleetPolicy);
    return withdrawVersions(models.items(), withdrawn.getModels())
        .flatMap(
            modelList ->
                validate(
                    withoutKeys(teams.items(), withdrawn.getKeyDigests()),
                    modelList,
                    services.items(),
                    backends.items(),
                    policy));
  }

  private static Result<ConfigView> validate(
      List<Team> teams,
      List<Model> models,
      List<Service> services,
      List<Backend> backends,
      Optional<FleetPolicy> policy) {
    Configuration configuration =
        policy
            .map(value -> new Configuration(teams, models, services, backends, value))
            .orElseGet(() -> new Configuration(teams, models, services, backends));
    ConfigView view = ConfigView.of(configuration);
    Optional<NoteFailure> failure =
        firstOf(
            findSharedKey(teams),
            findUnknownReference(view),
            teams.stream()
                .filter(team -> !(team.getWeight() > 0))
                .findFirst()
                .map(team -> new NoteFailure.OutOfRange("weight", team.getWeight())),
            policy
                .filter(p -> !(p.getReclaimableShare() >= 0 && p.getReclaimableShare() <= 1))
                .map(p -> new NoteFailure.OutOfRange("reclaimableShare", p.getReclaimableShare())));
    return failure.<Result<ConfigView>>map(Result::failed).orElseGet(() -> Result.success(view));
  }

  private static Optional<NoteFailure> findUnknownReference(ConfigView view) {
    for (Team team : view.teams()) {
      Optional<NoteFailure> failure =
          firstOf(
              findUnknownModel(view, team.getModels()),
              team.getServices().stream()
                  .filter(name -> view.service(name).isEmpty())
                  .findFirst()
                  .map(name -> new NoteFailure.UnknownReference("service", name)));
      if (failure.isPresent()) {
        return failure;
      }
    }
    for (Backend backend : view.backends()) {
      Optional<NoteFailure> failure =
          firstOf(
              findUnknownModel(view, backend.getModels()),
              backend
                  .getService()
                  .filter(name -> view.service(name).isEmpty())
                  .map(name -> new NoteFailure.UnknownReference("service", name)));
      if (failure.isPresent()) {
        return failure;
      }
    }
    return Optional.empty();
  }

  private static Optional<NoteFailure> findUnknownModel(ConfigView view, List<String> references) {
    for (String reference : references) {
      int separator = reference.indexOf('@');
      String name = separator < 0 ? reference : reference.substring(0, separator);
      boolean known =
          view.model(name)
              .filter(
                  m ->
                      separator < 0 || m.getVersions().contains(reference.substring(separator + 1)))
              .isPresent();
      if (!known) {
        return Optional.of(new NoteFailure.UnknownReference("model", reference));
      }
    }
    return Optional.empty();
  }

  private static Optional<NoteFailure> findSharedKey(List<Team> teams) {
    Map<String, String> owners = new HashMap<>();
    for (Team team : teams) {
      for (String digest : team.getKeyDigests()) {
        Optional<String> other = Optional.ofNullable(owners.put(digest, team.getName()));
        if (other.isPresent() && !other.get().equals(team.getName())) {
          return Optional.of(new NoteFailure.SharedKey(other.get(), team.getName()));
        }
      }
    }
    return Optional.empty();
  }

  private static List<String> withoutVersion(List<String> references) {
    return references.stream().filter(name -> name.indexOf('@') < 0).toList();
  }

  private static Result<List<Model>> withdrawVersions(List<Model> models, List<String> references) {
    List<Model> remaining = new ArrayList<>(models);
    for (String reference : references) {
      int separator = reference.indexOf('@');
      if (separator < 0) {
        continue;
      }
      String name = reference.substring(0, separator);
      String version = reference.substring(separator + 1);
      boolean found = false;
      for (int i = 0; i < remaining.size(); i++) {
        Model model = remaining.get(i);
        if (!model.getName().equals(name) || !model.getVersions().contains(version)) {
          continue;
        }
        List<String> versions =
            model.getVersions().stream().filter(v -> !v.equals(version)).toList();
        remaining.set(
            i,
            new Model(name, versions, model.getPromptPriceMicros(), model.getOutputPriceMicros()));
        found = true;
        break;
      }
      if (!found) {
        return Result.failed(new NoteFailure.UnknownReference("model", reference));
      }
    }
    return Result.success(remaining);
  }

  private static List<Team> withoutKeys(List<Team> teams, List<String> withdrawnDigests) {
    Set<String> withdrawn = new HashSet<>(withdrawnDigests);
    return teams.stream().map(team -> withoutKeys(team, withdrawn)).toList();
  }

  private static Team withoutKeys(Team team, Set<String> withdrawn) {
    List<String> remaining =
        team.getKeyDigests().stream().filter(digest -> !withdrawn.contains(digest)).toList();
    if (remaining.size() == team.getKeyDigests().size()) {
      return team;
    }
    return TeamCopies.withKeys(team, remaining);
  }

  @SafeVarargs
  private static Optional<NoteFailure> firstOf(Optional<? extends NoteFailure>... failures) {
    for (Optional<? extends NoteFailure> failure : failures) {
      if (failure.isPresent()) {
        return Optional.of(failure.get());
      }
    }
    return Optional.empty();
  }

  /** Applies the changes of a note to all items of one kind and records the first failure. */
  private static final class Merge<T> {
    private final String kind;
    private final Function<T, String> nameOf;
    private final Map<String, T> byName = new TreeMap<>();
    private Optional<NoteFailure> failure = Optional.empty();

    private Merge(String kind, Function<T, String> name) {
      this.kind = kind;
      this.nameOf = name;
    }

    static <T> Merge<T> of(String kind, Function<T, String> name, Collection<T> items) {
      Merge<T> merge = new Merge<>(kind, name);
      items.forEach(item -> merge.byName.put(name.apply(item), item));
      return merge;
    }

    Merge<T> withdraw(List<String> names) {
      for (String itemName : names) {
        if (byName.remove(itemName) == null) {
          fail(new NoteFailure.UnknownReference(kind, itemName));
        }
      }
      return this;
    }

    Merge<T> add(List<T> items) {
      for (T item : items) {
        if (byName.putIfAbsent(nameOf.apply(item), item) != null) {
          fail(new NoteFailure.AlreadyExists(kind, nameOf.apply(item)));
        }
      }
      return this;
    }

    Merge<T> change(List<T> items) {
      for (T item : items) {
        if (byName.replace(nameOf.apply(item), item) == null) {
          fail(new NoteFailure.UnknownReference(kind, nameOf.apply(item)));
        }
      }
      return this;
    }

    List<T> items() {
      return new ArrayList<>(byName.values());
    }

    private void fail(NoteFailure reason) {
      if (failure.isEmpty()) {
        failure = Optional.of(reason);
      }
    }
  }
}
