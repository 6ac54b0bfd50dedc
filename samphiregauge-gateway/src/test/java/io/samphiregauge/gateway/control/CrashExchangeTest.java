package io.samphiregauge.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.core.suspect.CrashSuspects;
import io.samphiregauge.core.suspect.RequestTraits;
import io.samphiregauge.gateway.GroupMember;
import io.samphiregauge.gateway.port.SharedStore;
import io.samphiregauge.net.Codec;
import io.samphiregauge.net.NetFailure;
import io.samphiregauge.schema.PeerMessage;
import io.samphiregauge.schema.gateway.CrashRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class CrashExchangeTest {
  private static final long TIMEOUT_MS = 10_000;
  private static final List<GroupMember> MEMBERS =
      List.of(member("vm1"), member("vm2"), member("vm3"));

  private final Map<String, CrashExchange> exchanges = new ConcurrentHashMap<>();
  private final ControlThread control = new ControlThread();

  private static GroupMember member(String vm) {
    return new GroupMember(vm, 1, "d", vm + ":1", vm);
  }

  /** A store that rejects every append, as during an outage. */
  private static SharedStore unavailableStore() {
    return new SharedStore(
        topic -> new CompletableFuture<>(),
        (topic, from, waitMs) -> new CompletableFuture<>(),
        (topic, record, end) ->
            CompletableFuture.completedFuture(
                Result.failed(new NetFailure.NotConnected("store", "down"))),
        (topic, records, end) -> new CompletableFuture<>(),
        (group, generation) -> new CompletableFuture<>(),
        group -> new CompletableFuture<>(),
        () -> new CompletableFuture<>());
  }

  private void start(GroupMember member, CountDownLatch changed) {
    start(member, MEMBERS, changed);
  }

  private void start(GroupMember member, List<GroupMember> group, CountDownLatch changed) {
    SplittableRandom random = new SplittableRandom(7);
    CrashExchange exchange =
        new CrashExchange(
            control, unavailableStore(), member, () -> group, random::nextLong, changed::countDown);
    exchanges.put(member.vm(), exchange);
    control.post(
        () -> exchange.start((address, message) -> deliver(member.vm(), address, message)));
  }

  /** Delivers a message as the receiver decodes it; to absent entries, none. */
  private void deliver(String from, String address, PeerMessage message) {
    byte[] frame = Codec.messagePack().encode(message);
    PeerMessage received =
        Codec.messagePack().decode(frame, PeerMessage.class).value().orElseThrow();
    control.post(
        () -> {
          if (exchanges.containsKey(address)) {
            exchanges.get(address).onPeerMessage(from, received);
          }
        });
  }

  private CrashSuspects suspectsOf(String vm) throws Exception {
    CompletableFuture<CrashSuspects> suspects = new CompletableFuture<>();
    control.post(() -> suspects.complete(exchanges.get(vm).suspects()));
    return suspects.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  private boolean blocksWithinTimeout(String vm, RequestTraits request) throws Exception {
    long endMs = DualTimestamp.monotonicNowMs() + TIMEOUT_MS;
    while (DualTimestamp.monotonicNowMs() < endMs) {
      if (suspectsOf(vm).blockOf(request, DualTimestamp.monotonicNowMs()).isPresent()) {
        return true;
      }
      Thread.sleep(10);
    }
    return false;
  }

  @AfterEach
  void close() {
    control.close();
  }

  /** Guards against crashes that only the store spreads, and against an entry that starts later. */
  @Test
  void blocksReachAllEntriesAndStartedOnesWithoutTheStore() throws Exception {
    CountDownLatch published = new CountDownLatch(2);
    start(MEMBERS.get(0), published);
    start(MEMBERS.get(1), published);
    for (int i = 0; i < 3; i++) {
      CrashRecord crash = new CrashRecord("s@" + i, List.of(List.of("deadly", "r" + i)));
      String vm = MEMBERS.get(i % 2).vm();
      control.post(() -> exchanges.get(vm).publish(crash));
      // Returns once the crash was recorded; crashes at the same time would count once.
      suspectsOf(vm);
      Thread.sleep(400);
    }
    RequestTraits next = new RequestTraits(List.of("deadly", "r9"));
    assertThat(blocksWithinTimeout("vm1", next)).isTrue();
    assertThat(blocksWithinTimeout("vm2", next)).isTrue();
    assertThat(published.await(TIMEOUT_MS, TimeUnit.MILLISECONDS)).isTrue();
    start(MEMBERS.get(2), new CountDownLatch(1));
    assertThat(blocksWithinTimeout("vm3", next)).isTrue();
  }

  /**
   * Guards against a started entry that is content with the answers of others that know nothing,
   * because they started with it or are the process before it on its own VM.
   */
  @Test
  void startedEntryAsksThoseThatStartedBeforeIt() throws Exception {
    CountDownLatch published = new CountDownLatch(1);
    start(MEMBERS.get(0), published);
    for (int i = 0; i < 3; i++) {
      CrashRecord crash = new CrashRecord("s@" + i, List.of(List.of("deadly", "r" + i)));
      control.post(() -> exchanges.get("vm1").publish(crash));
      // Returns once the crash was recorded; crashes at the same time would count once.
      suspectsOf("vm1");
      Thread.sleep(400);
    }
    RequestTraits next = new RequestTraits(List.of("deadly", "r9"));
    assertThat(blocksWithinTimeout("vm1", next)).isTrue();
    List<GroupMember> restarted =
        List.of(2, 3, 4, 5, 6, 7, 8, 9).stream()
            .map(number -> new GroupMember("vm" + number, 2, "d", "vm" + number, "vm" + number))
            .toList();
    List<GroupMember> group = new ArrayList<>(restarted);
    group.add(MEMBERS.get(0));
    group.add(MEMBERS.get(1));
    restarted.forEach(member -> start(member, group, new CountDownLatch(1)));
    for (GroupMember member : restarted) {
      assertThat(blocksWithinTimeout(member.vm(), next)).as(member.vm()).isTrue();
    }
  }
}
