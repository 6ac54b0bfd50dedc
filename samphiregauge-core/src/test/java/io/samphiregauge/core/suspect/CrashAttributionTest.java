package io.samphiregauge.core.suspect;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiregauge.schema.peer.TraitCompletion;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class CrashAttributionTest {
  /** Time between two crashes; longer than the time within which crashes count as one. */
  private static final long GAP_MS = 1_000;

  private final List<AttributionChange> changes = new ArrayList<>();
  private final CrashAttribution attribution = new CrashAttribution(changes::add);
  private long nowMs = 1_000_000;

  private static RequestTraits request(String... values) {
    return new RequestTraits(List.of(values));
  }

  private void crash(String server, RequestTraits... lost) {
    nowMs += GAP_MS;
    crashAtOnce(server, lost);
  }

  private void crashAtOnce(String server, RequestTraits... lost) {
    attribution.recordCrash(server, List.of(lost), nowMs, nowMs);
    attribution.update(nowMs);
  }

  private void complete(RequestTraits request) {
    nowMs += GAP_MS;
    attribution.recordCompletion(request, nowMs);
    attribution.update(nowMs);
  }

  private void completeElsewhere(String trait, long ageMs) {
    nowMs += GAP_MS;
    attribution.recordReportedCompletions(List.of(new TraitCompletion(trait, ageMs)), nowMs);
    attribution.update(nowMs);
  }

  private CrashSuspects suspects() {
    return attribution.suspects(trait -> true);
  }

  private boolean isBlocked(String... values) {
    return suspects().blockOf(request(values), nowMs).isPresent();
  }

  /** Guards against a request that crashes one server after another. */
  @Test
  void blocksARequestThatCrashedThreeServers() {
    crash("s@1", request("f"));
    crash("t@1", request("f"));
    assertThat(isBlocked("f")).isFalse();
    crash("s@2", request("f"));
    assertThat(isBlocked("f")).isTrue();
    assertThat(isBlocked("g")).isFalse();
  }

  /**
   * Guards against blocking only a request that its caller repeats, while other requests with its
   * deadly part go on to crash servers.
   */
  @Test
  void aRepeatedRequestBlocksItsPartInsteadOfItself() {
    complete(request("first", "sound", "d0"));
    crash("s@1", request("first", "deadly", "d1"));
    crash("t@1", request("first", "deadly", "d1"));
    crash("s@2", request("first", "deadly", "d1"));
    assertThat(isBlocked("first", "deadly", "d2")).isTrue();
    assertThat(isBlocked("first", "sound", "d3")).isFalse();
  }

  /** Guards against counting one crash several times because several entries report it. */
  @Test
  void countsOneCrashPerServerIncarnation() {
    crash("s@1", request("f"));
    crash("s@1", request("f"));
    crash("s@1", request("f"));
    assertThat(isBlocked("f")).isFalse();
  }

  /** Guards against blocking a harmless request that ran beside the one that crashes servers. */
  @Test
  void aResponseClearsARequest() {
    crash("s@1", request("f"));
    crash("t@1", request("f"));
    complete(request("f"));
    crash("u@1", request("f"));
    assertThat(isBlocked("f")).isFalse();
  }

  /** Guards against memory use that grows with every crash. */
  @Test
  void evictsTheOldestRequests() {
    for (int i = 0; i < 5_000; i++) {
      crash("s@" + i, request("f" + i));
    }
    crash("t@1", request("f0"));
    crash("t@2", request("f0"));
    assertThat(isBlocked("f0")).isFalse();
  }

  /** Guards against requests with a deadly part that differ otherwise and are never repeated. */
  @Test
  void blocksAPartThatIsCommonToDifferentRequests() {
    crash("s@1", request("a", "deadly", "r1"), request("b", "x1"));
    crash("t@1", request("a", "deadly", "r2"), request("c", "x2"));
    crash("u@1", request("a", "deadly", "r3"), request("b", "x3"));
    assertThat(isBlocked("a", "deadly", "r4")).isTrue();
    assertThat(isBlocked("a", "other", "r5")).isFalse();
    assertThat(isBlocked("b", "x4")).isFalse();
    assertThat(changes)
        .containsExactly(new AttributionChange.Blocked("deadly", 3, 0, 30_000, false));
  }

  /** Guards against blocking the sound parts around a deadly one, which every crash contains. */
  @Test
  void aPartThatCompletedIsNotBlockedForADeadlyOne() {
    complete(request("x", "sound-after", "r0"));
    for (int i = 1; i <= 8; i++) {
      crash("s@" + i, request("deadly", "sound-after", "r" + i));
    }
    assertThat(isBlocked("deadly", "r")).isTrue();
    assertThat(isBlocked("sound-after", "r")).isFalse();
  }

  /** Guards against a sound part that counts the crashes of two deadly ones together. */
  @Test
  void twoDeadlyPartsAreBlockedAndTheirCommonPartIsNot() {
    complete(request("a", "r0"));
    for (int i = 1; i <= 3; i++) {
      crash("s@" + i, request("a", "deadly1", "r" + i));
      crash("t@" + i, request("a", "deadly2", "q" + i));
    }
    assertThat(isBlocked("deadly1", "r")).isTrue();
    assertThat(isBlocked("deadly2", "r")).isTrue();
    assertThat(isBlocked("a", "r")).isFalse();
  }

  /** Guards against a common part that has many crashes before each deadly part has three. */
  @Test
  void aCommonPartIsNotBlockedBeforeTheDeadlyPartsAreFound() {
    complete(request("a", "r0"));
    for (int part = 1; part <= 4; part++) {
      crash("s@" + part, request("a", "deadly" + part, "r" + part));
      crash("t@" + part, request("a", "deadly" + part, "q" + part));
    }
    assertThat(isBlocked("a", "r")).isFalse();
  }

  /** Guards against deadly requests whose crashes come so close that they count as one or two. */
  @Test
  void crashesOfABurstCountSeparatelyOnceOtherRequestsComplete() {
    for (int i = 0; i < 5; i++) {
      crashAtOnce("s@" + i, request("deadly", "r" + i));
      nowMs += 60;
    }
    assertThat(isBlocked("deadly", "r")).isFalse();
    assertThat(attribution.isUndecided()).isTrue();
    for (int i = 0; i < 6; i++) {
      nowMs += 300;
      attribution.recordCompletion(request("other", "x" + i), nowMs);
      attribution.update(nowMs);
    }
    assertThat(isBlocked("deadly", "r")).isTrue();
  }

  /** Guards against an entry that keeps a false block because it missed one report. */
  @Test
  void anAnnouncedBlockIsDisprovedByAnEntryWithALaterCompletion() {
    CrashAttribution other = new CrashAttribution(change -> {});
    for (int i = 1; i <= 3; i++) {
      crash("s@" + i, request("part", "r" + i));
    }
    assertThat(other.completionsDisproving(attribution.blocksToReport(nowMs), nowMs, nowMs))
        .isEmpty();
    other.recordCompletion(request("part", "x"), nowMs - GAP_MS);
    List<TraitCompletion> disproving =
        other.completionsDisproving(attribution.blocksToReport(nowMs), nowMs, nowMs);
    attribution.recordReportedCompletions(disproving, nowMs);
    assertThat(isBlocked("part", "r")).isFalse();
  }

  /** Guards against crashes that go on uncounted once one of the parts in them is blocked. */
  @Test
  void crashesOfAFalselyBlockedPartCountAgainOnceItIsCleared() {
    for (int i = 1; i <= 3; i++) {
      crash("s@" + i, request("deadly", "bystander", "r" + i));
    }
    assertThat(isBlocked("bystander", "r")).isTrue();
    completeElsewhere("bystander", 0);
    assertThat(isBlocked("bystander", "r")).isFalse();
    assertThat(isBlocked("deadly", "r")).isTrue();
    assertThat(changes).contains(new AttributionChange.Cleared("bystander", true));
  }

  /** Guards against deadly requests that go on because their part was sound before. */
  @Test
  void aPartThatTurnsDeadlyIsBlockedAfterMoreCrashes() {
    complete(request("a", "part", "r0"));
    complete(request("a", "other", "r1"));
    for (int i = 1; i <= 4; i++) {
      crash("s@" + i, request("a", "part", "q" + i));
      assertThat(isBlocked("part", "r")).isFalse();
    }
    crash("s@5", request("a", "part", "q5"));
    assertThat(isBlocked("part", "r")).isTrue();
    assertThat(isBlocked("a", "r")).isFalse();
  }

  /** Guards against blocking a common part because servers fail for reasons of their own. */
  @Test
  void unrelatedCrashesDoNotBlockACommonPart() {
    for (int i = 0; i < 20; i++) {
      complete(request("common", "r" + i));
      crash("s@" + i, request("common", "x" + i));
    }
    assertThat(changes).isEmpty();
  }

  /** Guards against blocking a part of all requests when a failure domain is lost. */
  @Test
  void serversThatCrashTogetherCountOnce() {
    for (int i = 0; i < 50; i++) {
      crashAtOnce("s@" + i, request("common", "r" + i));
      nowMs += 4;
    }
    assertThat(isBlocked("common", "r")).isFalse();
    RequestTraits lost = request("common", "r49");
    assertThat(suspects().mayResend(lost, "s@49")).isTrue();
  }

  /** Guards against a deadly request that is sent on so fast that its crashes count as one. */
  @Test
  void crashesOfOneRequestCountSeparatelyHoweverCloseTheyAre() {
    for (int i = 0; i < 3; i++) {
      crashAtOnce("s@" + i, request("f"));
      nowMs += 10;
    }
    assertThat(isBlocked("f")).isTrue();
  }

  /** Guards against deadly requests that come so fast that their crashes never count separately. */
  @Test
  void crashesInFastSuccessionBlockWithinASecond() {
    for (int i = 0; i < 20; i++) {
      crashAtOnce("s@" + i, request("deadly", "r" + i));
      nowMs += 50;
    }
    assertThat(isBlocked("deadly", "r")).isTrue();
  }

  /** Guards against the second crash of a request that has a part of another crash. */
  @Test
  void aLostRequestIsNotSentAgainIfOneOfItsPartsIsALikelyCause() {
    complete(request("a", "b", "r0"));
    crash("s@1", request("a", "deadly", "r1"), request("a", "b", "x1"));
    assertThat(suspects().mayResend(request("a", "deadly", "r1"), "s@1")).isTrue();
    crash("t@1", request("a", "deadly", "r2"), request("b", "x2"));
    assertThat(suspects().mayResend(request("a", "deadly", "r2"), "t@1")).isFalse();
    assertThat(suspects().mayResend(request("b", "x2"), "t@1")).isTrue();
    assertThat(suspects().mayResend(request("b", "x3"), "u@1")).isFalse();
    completeElsewhere("b", 0);
    assertThat(suspects().mayResend(request("b", "x3"), "u@1")).isTrue();
  }

  /** Guards against several entries or requests that try a deadly part at the same time. */
  @Test
  void oneEntryPermitsOneTrialAfterTheBlockTime() {
    for (int i = 1; i <= 3; i++) {
      crash("s@" + i, request("deadly", "r" + i));
    }
    RequestTraits next = request("deadly", "r4");
    assertThat(suspects().blockOf(next, nowMs))
        .contains(new CrashSuspects.Block("deadly", BlockState.FIRST_DURATION_MS));
    assertThat(suspects().tryStartTrial(next, nowMs)).isEmpty();
    nowMs += BlockState.FIRST_DURATION_MS;
    CrashSuspects others = attribution.suspects(trait -> false);
    assertThat(others.tryStartTrial(next, nowMs)).isEmpty();
    CrashSuspects stale = suspects();
    assertThat(suspects().tryStartTrial(next, nowMs)).contains("deadly");
    assertThat(stale.tryStartTrial(next, nowMs)).isEmpty();
    attribution.recordTrialStarted("deadly", nowMs);
    assertThat(suspects().tryStartTrial(next, nowMs)).isEmpty();
    assertThat(isBlocked("deadly", "r4")).isTrue();
  }

  /** Guards against more than the three requests that the platform tolerates after a block. */
  @Test
  void failedTrialsProlongTheBlock() {
    for (int i = 1; i <= 3; i++) {
      crash("s@" + i, request("deadly", "r" + i));
    }
    long blockedAtMs = nowMs;
    int trials = 0;
    while (nowMs < blockedAtMs + 600_000) {
      nowMs += 100;
      if (suspects().tryStartTrial(request("deadly", "t" + trials), nowMs).isPresent()) {
        attribution.recordTrialStarted("deadly", nowMs);
        crash("t@" + trials, request("deadly", "t" + trials));
        trials++;
      }
    }
    assertThat(trials).isEqualTo(2);
    assertThat(changes).hasAtLeastOneElementOfType(AttributionChange.Renewed.class);
  }

  /** Guards against a block that stays although a trial has shown that the part is sound. */
  @Test
  void aCompletedTrialClearsTheBlockHereAndAtOtherEntries() {
    for (int i = 1; i <= 3; i++) {
      crash("s@" + i, request("part", "r" + i));
    }
    CrashAttribution other = new CrashAttribution(changes::add);
    other.recordReportedBlocks(attribution.blocksToReport(nowMs), nowMs);
    nowMs += BlockState.FIRST_DURATION_MS;
    attribution.recordTrialStarted("part", nowMs);
    List<String> concerned = attribution.recordCompletion(request("part", "r4"), nowMs);
    assertThat(concerned).contains("part");
    assertThat(isBlocked("part", "r4")).isFalse();
    other.recordReportedCompletions(attribution.completionsToReport(concerned, nowMs), nowMs);
    assertThat(other.suspects(trait -> false).isEmpty()).isTrue();
  }

  /** Guards against a block that an old completion lifts although the part is deadly by now. */
  @Test
  void aCompletionFromBeforeTheCrashesDoesNotClearABlock() {
    for (int i = 1; i <= 3; i++) {
      crash("s@" + i, request("deadly", "r" + i));
    }
    completeElsewhere("deadly", 4 * GAP_MS);
    assertThat(isBlocked("deadly", "r")).isTrue();
  }

  /** Guards against a block that stays forever at an entry that hears no reports. */
  @Test
  void aBlockExpiresIfNothingIsReportedAboutIt() {
    for (int i = 1; i <= 3; i++) {
      crash("s@" + i, request("part", "r" + i));
    }
    nowMs += BlockState.FIRST_DURATION_MS + BlockState.MAX_DURATION_MS;
    assertThat(isBlocked("part", "r")).isFalse();
    attribution.update(nowMs);
    assertThat(suspects().isEmpty()).isTrue();
    assertThat(changes).contains(new AttributionChange.Expired("part"));
  }

  /** Guards against a started entry that sends the deadly requests that all others refuse. */
  @Test
  void aStartedEntryTakesOverBlocksAndRecentCrashes() {
    for (int i = 1; i <= 3; i++) {
      crash("s@" + i, request("deadly", "r" + i));
    }
    crash("t@1", request("other", "q1"));
    CrashAttribution started = new CrashAttribution(change -> {});
    started.recordReportedBlocks(attribution.blocksToReport(nowMs), 50);
    attribution
        .crashesToReport(nowMs)
        .forEach(
            recent ->
                started.recordCrash(
                    recent.getCrash().getBackend(),
                    recent.getCrash().getRequests().stream().map(RequestTraits::new).toList(),
                    50 - recent.getAgeMs(),
                    50));
    started.update(50);
    CrashSuspects known = started.suspects(trait -> false);
    assertThat(known.blockOf(request("deadly", "r"), 50)).isPresent();
    assertThat(known.mayResend(request("other", "q2"), "t@2")).isFalse();
  }

  /** Guards against 95 entries that all report the same completions after each crash. */
  @Test
  void completionsThatAnotherEntryReportedAreNotReportedAgain() {
    complete(request("common", "rare", "r0"));
    crash("s@1", request("common", "rare", "r1"));
    completeElsewhere("common", 1_100);
    assertThat(attribution.completionsToReport(List.of("common", "rare", "r1"), nowMs))
        .extracting(TraitCompletion::getTrait)
        .containsExactly("rare");
    assertThat(attribution.completionsToReport(List.of("common", "rare", "r1"), nowMs)).isEmpty();
    complete(request("common", "r2"));
    assertThat(attribution.completionsToReport(List.of("common"), nowMs)).hasSize(1);
  }

  /** Guards against memory that grows with the crashes, the requests and the parts of prompts. */
  @Property(seed = "17", tries = 20)
  void memoryIsBounded(@ForAll @IntRange(min = 1, max = 64) int requestsPerCrash) {
    CrashAttribution bounded = new CrashAttribution(change -> {});
    long timeMs = 0;
    for (int i = 0; i < 2_000; i++) {
      int crash = i;
      timeMs += 300;
      bounded.recordCrash(
          "s@" + i,
          IntStream.range(0, requestsPerCrash)
              .mapToObj(r -> request("p" + crash / 3, "c" + crash + "r" + r))
              .toList(),
          timeMs,
          timeMs);
      if (i % 50 == 0) {
        bounded.update(timeMs);
      }
    }
    for (int i = 0; i < 20_000; i++) {
      bounded.recordCompletion(request("q" + i, "d" + i), timeMs);
    }
    bounded.update(timeMs);
    assertThat(bounded.eventCount()).isLessThanOrEqualTo(CrashAttribution.MAX_EVENTS);
    assertThat(bounded.blockCount()).isLessThanOrEqualTo(CrashAttribution.MAX_BLOCKS);
    assertThat(bounded.completionCount()).isLessThanOrEqualTo(CompletionHistory.MAX_TRAITS);
  }
}
