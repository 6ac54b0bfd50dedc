package io.samphiregauge.core.config;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiregauge.core.result.Failure;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.schema.config.Configuration;
import io.samphiregauge.schema.config.Model;
import io.samphiregauge.schema.config.Team;
import io.samphiregauge.schema.config.Withdrawal;
import io.samphiregauge.schema.record.Note;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against notes that make the configuration inconsistent or are only partly applied. */
class NotesTest {
  private static final Configuration NO_ITEMS =
      new Configuration(List.of(), List.of(), List.of(), List.of());

  @Test
  void withdrawsAKeyAndKeepsItsTeam() {
    ConfigView view = configured();
    Withdrawal key = new Withdrawal(List.of(), List.of("d1"), List.of(), List.of(), List.of());
    ConfigView next = apply(view, NO_ITEMS, NO_ITEMS, key).value().orElseThrow();
    assertThat(next.teamOfKey("d1")).isEmpty();
    assertThat(next.teamOfKey("d2").map(Team::getName)).contains("t1");
    assertThat(view.teamOfKey("d1")).isPresent();
  }

  @Test
  void rejectsWithdrawalOfAModelThatATeamUses() {
    Withdrawal model = new Withdrawal(List.of(), List.of(), List.of("m1"), List.of(), List.of());
    assertThat(type(apply(configured(), NO_ITEMS, NO_ITEMS, model))).isEqualTo("unknown_reference");
  }

  @Test
  void rejectsTheSameKeyForTwoTeams() {
    Configuration added =
        new Configuration(List.of(team("t2", "d1")), List.of(), List.of(), List.of());
    assertThat(type(apply(configured(), added, NO_ITEMS, noWithdrawal()))).isEqualTo("shared_key");
  }

  @Test
  void rejectsAddingATeamThatExists() {
    Configuration added =
        new Configuration(List.of(team("t1", "d9")), List.of(), List.of(), List.of());
    assertThat(type(apply(configured(), added, NO_ITEMS, noWithdrawal())))
        .isEqualTo("already_exists");
  }

  @Test
  void rejectsChangingATeamThatDoesNotExist() {
    Configuration changed =
        new Configuration(List.of(team("t9", "d9")), List.of(), List.of(), List.of());
    assertThat(type(apply(configured(), NO_ITEMS, changed, noWithdrawal())))
        .isEqualTo("unknown_reference");
  }

  private static ConfigView configured() {
    Configuration added =
        new Configuration(
            List.of(team("t1", "d1", "d2")),
            List.of(new Model("m1", List.of("1", "2"), 1L, 2L)),
            List.of(),
            List.of());
    return apply(ConfigView.empty(), added, NO_ITEMS, noWithdrawal()).value().orElseThrow();
  }

  private static Result<ConfigView> apply(
      ConfigView view, Configuration added, Configuration changed, Withdrawal withdrawn) {
    return Notes.apply(view, new Note(-1L, "ops", added, changed, withdrawn));
  }

  private static Team team(String name, String... digests) {
    return new Team(name, List.of(digests), List.of("m1"), List.of(), 1.0);
  }

  private static Withdrawal noWithdrawal() {
    return new Withdrawal(List.of(), List.of(), List.of(), List.of(), List.of());
  }

  private static String type(Result<ConfigView> result) {
    return result.failure().map(Failure::type).orElse("accepted");
  }
}
