package io.samphiregauge.core.suspect;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiregauge.core.Step;
import io.samphiregauge.core.suspect.SuspicionAction.CheckEngines;
import io.samphiregauge.core.suspect.SuspicionAction.IsolationGranted;
import io.samphiregauge.core.suspect.SuspicionAction.IsolationRefused;
import io.samphiregauge.core.suspect.SuspicionAction.ReleaseCallers;
import io.samphiregauge.core.suspect.SuspicionAction.Send;
import io.samphiregauge.schema.peer.SuspicionAck;
import io.samphiregauge.schema.peer.SuspicionNotice;
import io.samphiregauge.schema.record.Incarnation;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class SuspicionTest {
  private static final Incarnation A = new Incarnation("a", 1, 1);
  private static final Incarnation B = new Incarnation("b", 1, 1);
  private static final Incarnation C = new Incarnation("c", 1, 1);
  private static final List<Incarnation> ALL = List.of(A, B, C);

  private final Map<String, SuspicionState> states = new TreeMap<>();
  private final Set<Incarnation> partitioned = new HashSet<>();
  private final Set<String> busyAtC = new HashSet<>();
  private final List<SuspicionAction> actions = new ArrayList<>();
  private long nowMs;

  @BeforeEach
  void startThreeEntries() {
    ALL.forEach(member -> states.put(member.getVm(), SuspicionState.initial(member)));
    for (Incarnation member : ALL) {
      Set<Incarnation> others = new HashSet<>(ALL);
      others.remove(member);
      apply(member, new SuspicionEvent.MembersChanged(others, Set.of()));
    }
    actions.clear();
  }

  /** Guards against a repeat of the request at an entry that does not know of the crash. */
  @Test
  void callersAreReleasedOnceAllEntriesKnowTheSuspects() {
    apply(A, new SuspicionEvent.Crashed("e1", List.of("f", "g")));
    assertThat(actions).contains(new ReleaseCallers("e1", List.of("f", "g"), true));
    assertThat(view(C).level("f")).isEqualTo(SuspicionLevel.SUSPECT);
    assertThat(view(C).mayStart("f", "e2")).isFalse();
  }

  /** Guards against a caller that waits for an unreachable entry. */
  @Test
  void callersAreReleasedAfterTwoHundredMilliseconds() {
    partitioned.add(C);
    apply(A, new SuspicionEvent.Crashed("e1", List.of("f")));
    tick(A, 199);
    assertThat(actions).doesNotHaveAnyElementsOfTypes(ReleaseCallers.class);
    tick(A, 200);
    assertThat(actions).contains(new ReleaseCallers("e1", List.of("f"), false));
    partitioned.clear();
    tick(A, 300);
    assertThat(view(C).level("f")).isEqualTo(SuspicionLevel.SUSPECT);
  }

  /** Guards against a caller that repeats a crashing request on the other side of a partition. */
  @Test
  void callersWaitForEntriesPresumedDead() {
    apply(A, new SuspicionEvent.MembersChanged(Set.of(B), Set.of(C)));
    partitioned.add(C);
    apply(A, new SuspicionEvent.Crashed("e1", List.of("f")));
    assertThat(actions).doesNotHaveAnyElementsOfTypes(ReleaseCallers.class);
    tick(A, 200);
    assertThat(actions).contains(new ReleaseCallers("e1", List.of("f"), false));
    apply(A, new SuspicionEvent.IsolationRequested("f", List.of("e2")));
    assertThat(actions).doesNotHaveAnyElementsOfTypes(IsolationGranted.class);
    apply(A, new SuspicionEvent.MembersChanged(Set.of(B), Set.of()));
    assertThat(actions).contains(new IsolationGranted("f", "e2"));
  }

  /**
   * Guards against starting an unproven request on an engine that an entry on the other side of a
   * partition has reserved. Found by seed 197 of the fault schedules.
   */
  @Test
  void keepsTheReservationsOfAnEntryPresumedDead() {
    apply(A, new SuspicionEvent.Crashed("e1", List.of("f")));
    apply(A, new SuspicionEvent.IsolationRequested("f", List.of("e2")));
    apply(C, new SuspicionEvent.MembersChanged(Set.of(B), Set.of(A)));
    assertThat(view(C).mayStart("new", "e2")).isFalse();
    apply(C, new SuspicionEvent.MembersChanged(Set.of(B), Set.of()));
    assertThat(view(C).mayStart("new", "e2")).isTrue();
  }

  /**
   * Guards against a third crash by one request, and against blocking other requests on the engine.
   */
  @Test
  void aSuspectThatCrashesItsReservedEngineIsBlockedOnAllEntries() {
    apply(A, new SuspicionEvent.Crashed("e1", List.of("f", "g")));
    apply(B, new SuspicionEvent.IsolationRequested("f", List.of("e2")));
    assertThat(actions).contains(new IsolationGranted("f", "e2"));
    assertThat(view(B).mayStart("f", "e2")).isTrue();
    assertThat(view(C).mayStart("new", "e2")).isFalse();
    apply(B, new SuspicionEvent.Crashed("e2", List.of("f", "proven")));
    assertThat(view(A).level("f")).isEqualTo(SuspicionLevel.BLOCKED);
    assertThat(view(A).level("g")).isEqualTo(SuspicionLevel.SUSPECT);
    assertThat(view(A).level("proven")).isEqualTo(SuspicionLevel.SUSPECT);
    assertThat(view(C).mayStart("new", "e2")).isTrue();
    apply(C, new SuspicionEvent.Finished("f", true));
    assertThat(view(C).level("f")).isEqualTo(SuspicionLevel.BLOCKED);
  }

  /** Guards against a request that stays isolated although it is harmless. */
  @Test
  void aSuspectThatCompletesIsClearedOnAllEntries() {
    apply(A, new SuspicionEvent.Crashed("e1", List.of("g")));
    apply(A, new SuspicionEvent.IsolationRequested("g", List.of("e2")));
    apply(A, new SuspicionEvent.Finished("g", true));
    assertThat(view(B).level("g")).isEqualTo(SuspicionLevel.CLEAR);
    assertThat(view(C).mayStart("new", "e2")).isTrue();
  }

  /** Guards against a delayed notice that raises a cleared suspicion again. */
  @Test
  void anOlderNoticeDoesNotOverrideANewerOne() {
    SuspicionNotice clear = new SuspicionNotice(6, "", List.of(), List.of("g"), List.of());
    SuspicionNotice crash = new SuspicionNotice(5, "e1", List.of("g"), List.of(), List.of());
    apply(B, new SuspicionEvent.NoticeReceived(A, clear));
    apply(B, new SuspicionEvent.NoticeReceived(A, crash));
    assertThat(view(B).level("g")).isEqualTo(SuspicionLevel.CLEAR);
  }

  /** Guards against attributing a crash by another entry's unproven request to the suspect. */
  @Test
  void aSuspectWaitsUntilNoEntryHasAnUnprovenRequestOnTheEngine() {
    apply(A, new SuspicionEvent.Crashed("e1", List.of("f")));
    busyAtC.add("e2");
    apply(A, new SuspicionEvent.IsolationRequested("f", List.of("e2")));
    tick(A, 100);
    assertThat(view(A).mayStart("f", "e2")).isFalse();
    busyAtC.clear();
    tick(A, 200);
    assertThat(view(A).mayStart("f", "e2")).isTrue();
  }

  /** Guards against two suspects on one engine when two entries reserve it concurrently. */
  @Test
  void oneOfTwoConcurrentReservationsIsGranted() {
    apply(A, new SuspicionEvent.Crashed("e1", List.of("f", "g")));
    partitioned.addAll(ALL);
    apply(A, new SuspicionEvent.IsolationRequested("f", List.of("e2")));
    apply(B, new SuspicionEvent.IsolationRequested("g", List.of("e2")));
    partitioned.clear();
    actions.clear();
    tick(B, 100);
    tick(A, 200);
    tick(A, 300);
    assertThat(actions).contains(new IsolationGranted("f", "e2"), new IsolationRefused("g"));
    assertThat(view(B).mayStart("g", "e2")).isFalse();
  }

  /**
   * Guards against counting one crash twice when two entries ran the same request on the engine.
   */
  @Test
  void oneCrashReportedByTwoEntriesDoesNotBlock() {
    apply(A, new SuspicionEvent.Crashed("e1", List.of("f")));
    apply(B, new SuspicionEvent.Crashed("e1", List.of("f")));
    assertThat(view(C).level("f")).isEqualTo(SuspicionLevel.SUSPECT);
  }

  /** Guards against an entry that starts after a crash and does not learn of it. */
  @Test
  void aNewMemberReceivesAllSuspicions() {
    apply(A, new SuspicionEvent.Crashed("e1", List.of("f")));
    Incarnation next = new Incarnation("c", 2, 2);
    states.put("c", SuspicionState.initial(next));
    apply(next, new SuspicionEvent.MembersChanged(Set.of(A, B), Set.of()));
    assertThat(view(next).synced()).isFalse();
    apply(A, new SuspicionEvent.MembersChanged(Set.of(B, next), Set.of()));
    apply(B, new SuspicionEvent.MembersChanged(Set.of(A, next), Set.of()));
    assertThat(view(next).synced()).isTrue();
    assertThat(view(next).level("f")).isEqualTo(SuspicionLevel.SUSPECT);
  }

  /** Guards against memory use that grows with the number of crashes. */
  @Test
  void evictsSurplusAndExpiredSuspects() {
    List<String> many = IntStream.range(0, 9_000).mapToObj(Integer::toString).toList();
    apply(A, new SuspicionEvent.Crashed("e1", many));
    assertThat(states.get("a").fingerprintCount()).isEqualTo(SuspicionLimits.MAX_FINGERPRINTS);
    tick(A, SuspicionLimits.SUSPECT_RETENTION_MS + 1);
    assertThat(states.get("a").fingerprintCount()).isZero();
  }

  /** Guards against two requests with the same fingerprint. */
  @Test
  void fingerprintsSeparateTeamRouteAndBody() {
    byte[] body = "x".getBytes(StandardCharsets.UTF_8);
    assertThat(Fingerprint.of("ab", "c", body)).isNotEqualTo(Fingerprint.of("a", "bc", body));
  }

  private SuspicionView view(Incarnation member) {
    return states.get(member.getVm()).view();
  }

  private void tick(Incarnation member, long atMs) {
    nowMs = atMs;
    apply(member, new SuspicionEvent.Tick());
  }

  private record Delivery(Incarnation to, SuspicionEvent event) {}

  /** Applies an event, and delivers all resulting messages without delay. */
  private void apply(Incarnation member, SuspicionEvent event) {
    Queue<Delivery> queue = new ArrayDeque<>(List.of(new Delivery(member, event)));
    while (!queue.isEmpty()) {
      Delivery next = queue.remove();
      SuspicionState state = states.get(next.to().getVm());
      Step<SuspicionState, SuspicionAction> step = Suspicion.handle(state, next.event(), nowMs);
      states.put(next.to().getVm(), step.state());
      actions.addAll(step.actions());
      step.actions().forEach(action -> execute(next.to(), action, queue));
    }
  }

  private void execute(Incarnation from, SuspicionAction action, Queue<Delivery> queue) {
    if (action instanceof CheckEngines check) {
      List<String> busy =
          check.engines().stream().filter(e -> from.equals(C) && busyAtC.contains(e)).toList();
      queue.add(
          new Delivery(
              from, new SuspicionEvent.EnginesChecked(check.reservedBy(), check.number(), busy)));
    }
    if (!(action instanceof Send send)
        || partitioned.contains(send.to())
        || partitioned.contains(from)) {
      return;
    }
    if (send.message() instanceof SuspicionNotice notice) {
      queue.add(new Delivery(send.to(), new SuspicionEvent.NoticeReceived(from, notice)));
    }
    if (send.message() instanceof SuspicionAck ack) {
      queue.add(new Delivery(send.to(), new SuspicionEvent.AckReceived(from, ack)));
    }
  }
}
