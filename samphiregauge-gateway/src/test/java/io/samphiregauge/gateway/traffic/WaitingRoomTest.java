package io.samphiregauge.gateway.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiregauge.core.queue.QueueDecision;
import io.samphiregauge.core.queue.QueuedRequest;
import io.samphiregauge.core.room.WorkRequest;
import io.samphiregauge.core.site.RequestKind;
import io.samphiregauge.core.site.ServiceShare;
import io.samphiregauge.core.site.SiteConfig;
import io.samphiregauge.core.site.SiteRoute;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import org.junit.jupiter.api.Test;

/** Brings about one failure at a time while requests wait. */
class WaitingRoomTest {
  private record Task(Runnable action, long atMs, int number) {}

  /** Records what a request is told, in place of its exchange. */
  private static final class Caller implements QueuedCaller {
    private final List<String> told = new ArrayList<>();

    @Override
    public void onSend(QueueDecision.Send decision) {
      told.add("send");
    }

    @Override
    public void onRefuse(QueueDecision.Refuse decision) {
      told.add("refuse " + decision.reason().type());
    }

    @Override
    public void onWait(QueueDecision.Wait decision) {
      told.add("wait");
    }

    @Override
    public void onConfigChange(SiteConfig config) {
      told.add("config " + config.version());
    }
  }

  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(Comparator.comparingLong(Task::atMs).thenComparingInt(Task::number));
  private final GatewayMetrics metrics = new GatewayMetrics();
  private SiteConfig config = config(1, 250, 1_200);
  private int free;
  private long nowMs;
  private int taskCount;
  private final WaitingRoom room =
      new WaitingRoom(
          () -> Optional.of(config),
          (service, timeMs) -> free,
          () -> nowMs,
          (task, delayMs) -> tasks.add(new Task(task, nowMs + delayMs, taskCount++)),
          metrics);

  private static SiteConfig config(long version, int urgentTargetMs, int otherTargetMs) {
    return new SiteConfig(
        version,
        List.of(route("urgent", 0, urgentTargetMs), route("other", 2, otherTargetMs)),
        List.of(),
        Optional.empty(),
        Optional.empty());
  }

  private static SiteRoute route(String name, int priority, int targetMs) {
    return new SiteRoute(
        name,
        "host",
        "/" + name + "/",
        RequestKind.IDEMPOTENT,
        3_000,
        targetMs,
        3_000,
        priority,
        List.of(new ServiceShare("service", 1)),
        2,
        true);
  }

  private Caller offer(long number, long givesUpAtMs) {
    WorkRequest work =
        new WorkRequest(number, "service", "", 0, 0, 0, nowMs, nowMs + 250, givesUpAtMs);
    Caller caller = new Caller();
    room.offer(
        new QueuedRequest(work, "urgent", "", "caller" + number, givesUpAtMs, 100, 0), caller);
    return caller;
  }

  private void runUntil(long untilMs) {
    while (!tasks.isEmpty() && tasks.peek().atMs() <= untilMs) {
      Task task = tasks.remove();
      nowMs = Math.max(nowMs, task.atMs());
      task.action().run();
    }
    nowMs = untilMs;
  }

  /** Guards against a change for deployments whose routes do not compete. */
  @Test
  void isOffUnlessTheMoreUrgentRouteHasTheShorterObjective() {
    assertThat(room.isEnabled()).isTrue();
    config = config(2, 600, 600);
    assertThat(room.isEnabled()).isFalse();
    config = config(3, 1_000, 800);
    assertThat(room.isEnabled()).isFalse();
  }

  /** Guards against a wait while there is room, and a place that stays unused once it is free. */
  @Test
  void aRequestIsSentAtOnceWithRoomAndElseWhenRoomBecomesFree() {
    free = 1;
    assertThat(offer(1, 2_000).told).containsExactly("send");
    free = 0;
    Caller waiting = offer(2, 2_000);
    assertThat(waiting.told).containsExactly("wait");
    free = 1;
    room.onRoomChanged();
    runUntil(1);
    assertThat(waiting.told).containsExactly("wait", "send");
  }

  /** Guards against work for a caller that has left, or whose request ended in a planned stop. */
  @Test
  void aRequestThatHasEndedIsToldNothing() {
    Caller left = offer(1, 2_000);
    Caller next = offer(2, 2_000);
    assertThat(room.remove("service", 1)).isTrue();
    free = 5;
    runUntil(60);
    assertThat(left.told).containsExactly("wait");
    assertThat(next.told).containsExactly("wait", "send");
    assertThat(tasks).as("no timer runs while nothing waits").isEmpty();
  }

  /** Guards against requests that wait for servers that are gone. */
  @Test
  void requestsGoOnWhenTheServerListEmpties() {
    Caller waiting = offer(1, 2_000);
    free = Integer.MAX_VALUE;
    runUntil(60);
    assertThat(waiting.told).containsExactly("wait", "send");
  }

  /** Guards against a wait beyond the patience of the caller after a stop of the process. */
  @Test
  void aRequestWhoseCallerGaveUpDuringAStopIsRefusedOnWaking() {
    Caller waiting = offer(1, 2_000);
    nowMs = 3_000;
    runUntil(3_000);
    assertThat(waiting.told).containsExactly("wait", "refuse no_room");
  }

  /** Guards against a request that waits on by a route that a new configuration has dropped. */
  @Test
  void waitingRequestsHearOfANewConfiguration() {
    assertThat(room.isEnabled()).isTrue();
    runUntil(1);
    Caller waiting = offer(1, 2_000);
    config = config(2, 250, 1_200);
    runUntil(60);
    assertThat(waiting.told).containsExactly("wait", "config 2");
  }

  /** Guards against requests that stay in a waiting room which a configuration has switched off. */
  @Test
  void waitingRequestsAreSentWhenTheConfigurationSwitchesTheRoomOff() {
    room.isEnabled();
    Caller waiting = offer(1, 2_000);
    config = config(2, 600, 600);
    runUntil(60);
    assertThat(waiting.told).contains("send");
  }
}
