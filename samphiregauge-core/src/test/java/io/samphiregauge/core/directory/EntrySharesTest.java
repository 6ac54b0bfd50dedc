package io.samphiregauge.core.directory;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against callers sent to entries in trouble, and against entries that are left out. */
class EntrySharesTest {
  private static final EntryCondition WELL = new EntryCondition(0.3, 50, 0.5);

  private static double shareOf(EntryCondition condition) {
    return new EntryShare(0).update(condition, 0);
  }

  @Test
  void anEntryInTroubleTakesFewerButNeverNone() {
    assertThat(shareOf(WELL)).isEqualTo(1);
    assertThat(shareOf(new EntryCondition(0.65, 50, 0.5))).isBetween(0.5, 0.8);
    for (EntryCondition ill :
        List.of(
            new EntryCondition(0.8, 0, 0),
            new EntryCondition(0, 5_000, 0),
            new EntryCondition(0, 0, 7),
            new EntryCondition(9, 9_000, 9))) {
      assertThat(shareOf(ill)).isEqualTo(EntryShare.MIN_SHARE);
    }
  }

  /** Callers keep an answer for up to 3 s: a share that jumped back would swing with them. */
  @Test
  void theShareFallsAtOnceAndRisesSlowly() {
    EntryShare share = new EntryShare(0);
    assertThat(share.update(new EntryCondition(1, 0, 0), 250)).isEqualTo(EntryShare.MIN_SHARE);
    assertThat(share.update(WELL, 1_250)).isCloseTo(0.45, within(0.01));
    assertThat(share.update(WELL, 4_250)).isEqualTo(1);
  }

  @Test
  void oldFiguresAreForgottenAndAnEntryThatStartsTakesMoreStepByStep() {
    KnownShares shares = new KnownShares(0);
    shares.setMembers(List.of("a@1", "b@1"), 1_000);
    shares.receive("a@1", 0.25, 2_000);
    shares.receive("gone@1", 0.25, 2_000);
    assertThat(shares.share("a@1", 4_000)).isEqualTo(0.25);
    assertThat(shares.share("a@1", 5_000)).isEqualTo(1);
    assertThat(shares.share("b@1", 2_000)).as("found at the own start").isEqualTo(1);
    shares.setMembers(List.of("a@1", "b@2"), 10_000);
    assertThat(shares.share("b@2", 10_000)).isEqualTo(EntryShare.MIN_SHARE);
    assertThat(shares.share("b@2", 13_000)).isBetween(0.5, 0.8);
    assertThat(shares.share("b@2", 16_000)).isEqualTo(1);
  }

  /** Guards against messages of all entries to all after a restart of all of them. */
  @Test
  void aShareIsToldAtOnceOnlyWhenItFallsAndNeverAtTheStart() {
    KnownShares shares = new KnownShares(0);
    assertThat(shares.mustTell(0.25, 1, 5_000, 5_000)).as("starting").isFalse();
    assertThat(shares.mustTell(0.25, 1, 100, 7_000)).as("fall").isTrue();
    assertThat(shares.mustTell(0.45, 0.25, 500, 7_000)).as("rise").isFalse();
    assertThat(shares.mustTell(0.45, 0.25, 1_000, 7_000)).as("due").isTrue();
    assertThat(shares.mustTell(1, 0.8, 1_000, 7_000)).as("last").isTrue();
    assertThat(shares.mustTell(1, 1, 9_000, 9_000)).as("calm").isFalse();
  }

  @Test
  void messagesStayBoundedInLargeGroups() {
    for (int members : List.of(8, 65, 87, 560)) {
      assertThat(members * 1_000.0 / KnownShares.periodMs(members)).isLessThanOrEqualTo(50);
    }
  }
}
