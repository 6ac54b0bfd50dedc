package io.samphiregauge.bench;

import io.samphiregauge.core.RandomSource;
import io.samphiregauge.core.Step;
import io.samphiregauge.core.member.MemberAction;
import io.samphiregauge.core.member.MemberEvent;
import io.samphiregauge.core.member.Membership;
import io.samphiregauge.net.Codec;
import io.samphiregauge.schema.PeerMessage;
import io.samphiregauge.schema.peer.Member;
import io.samphiregauge.schema.peer.MemberState;
import io.samphiregauge.schema.record.Incarnation;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Predicate;

/**
 * Simulates members and their network in one thread and in virtual time. Each message is encoded
 * and decoded, so that its size and processor time are counted.
 */
final class GossipNetwork {
  /** Size of the length field of a frame. */
  private static final int LENGTH_FIELD_BYTES = 4;

  private static final int MEMBERS_PER_FAILURE_DOMAIN = 33;
  private static final int SAME_DOMAIN_LATENCY_MS = 1;
  private static final int CROSS_DOMAIN_LATENCY_MS = 2;

  private record Delivery(long atMs, long sequence, int to, ByteBuffer frame) {}

  private final List<Membership> members = new ArrayList<>();
  private final List<Boolean> down = new ArrayList<>();
  private final PriorityQueue<Delivery> inFlight =
      new PriorityQueue<>(
          (a, b) ->
              a.atMs() != b.atMs()
                  ? Long.compare(a.atMs(), b.atMs())
                  : Long.compare(a.sequence(), b.sequence()));
  private final RandomSource random;
  private final long[] deadlinesMs;
  private long nextSequence;
  private long nowMs;
  private long bytes;
  private long messages;

  GossipNetwork(int count, long seed) {
    SplittableRandom generator = new SplittableRandom(seed);
    this.random = generator::nextLong;
    this.deadlinesMs = new long[count];
    for (int i = 0; i < count; i++) {
      members.add(Membership.of(member(i), List.of("0", "1", "2"), random.nextIndex(1_000)));
      down.add(false);
      deadlinesMs[i] = members.get(i).deadlineMs();
    }
  }

  private static Member member(int index) {
    return new Member(
        new Incarnation("vm-%04d".formatted(index), 1_765_000_000_000L + index, index * 7_919L),
        "th-central",
        "domain-" + index / MEMBERS_PER_FAILURE_DOMAIN,
        "10.0.0.1:8080",
        Integer.toString(index),
        MemberState.ALIVE,
        0,
        100_000,
        0);
  }

  long nowMs() {
    return nowMs;
  }

  long bytes() {
    return bytes;
  }

  long messages() {
    return messages;
  }

  /** Disconnects a member from the network, or reconnects it. */
  void setDown(int index, boolean isDown) {
    down.set(index, isDown);
  }

  /** Runs until a condition holds or the limit is reached; returns whether the condition held. */
  boolean runUntil(long limitMs, Predicate<GossipNetwork> done) {
    long endMs = nowMs + limitMs;
    while (nowMs < endMs) {
      nowMs++;
      deliverDueMessages();
      runDueMembers();
      if (done.test(this)) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether all other connected members see a member in a matching state. */
  boolean allSee(int index, Predicate<MemberState> state) {
    for (int i = 0; i < members.size(); i++) {
      if (i != index && !down.get(i) && !sees(i, index, state)) {
        return false;
      }
    }
    return true;
  }

  /** Counts the other connected members that see a member in a matching state. */
  long countMembersSeeing(int index, Predicate<MemberState> state) {
    long count = 0;
    for (int i = 0; i < members.size(); i++) {
      count += i != index && !down.get(i) && sees(i, index, state) ? 1 : 0;
    }
    return count;
  }

  boolean allKnowAll() {
    return members.stream().allMatch(m -> m.others().size() == members.size() - 1);
  }

  private boolean sees(int viewer, int index, Predicate<MemberState> state) {
    String vm = members.get(index).self().getIncarnation().getVm();
    return members
        .get(viewer)
        .find(vm)
        .filter(known -> state.test(known.member().getState()))
        .isPresent();
  }

  private void deliverDueMessages() {
    while (!inFlight.isEmpty() && inFlight.peek().atMs() <= nowMs) {
      Delivery delivery = inFlight.poll();
      if (down.get(delivery.to())) {
        continue;
      }
      PeerMessage message =
          Codec.messagePack()
              .decode(delivery.frame().array(), PeerMessage.class)
              .value()
              .orElseThrow();
      applyEvent(delivery.to(), new MemberEvent.Received(message));
    }
  }

  private void runDueMembers() {
    for (int i = 0; i < members.size(); i++) {
      if (deadlinesMs[i] <= nowMs) {
        applyEvent(i, new MemberEvent.Progress(100_000, OptionalLong.of(nowMs)));
        applyEvent(i, new MemberEvent.Tick());
      }
    }
  }

  private void applyEvent(int index, MemberEvent event) {
    Step<Membership, MemberAction> step = members.get(index).handle(event, nowMs, random);
    members.set(index, step.state());
    deadlinesMs[index] = step.state().deadlineMs();
    for (MemberAction action : step.actions()) {
      if (action instanceof MemberAction.Send send) {
        send(index, Integer.parseInt(send.peerAddress()), send.message());
      }
    }
  }

  private void send(int from, int to, PeerMessage message) {
    if (down.get(from)) {
      return;
    }
    byte[] frame = Codec.messagePack().encode(message);
    bytes += LENGTH_FIELD_BYTES + frame.length;
    messages++;
    boolean sameDomain = from / MEMBERS_PER_FAILURE_DOMAIN == to / MEMBERS_PER_FAILURE_DOMAIN;
    int latencyMs = sameDomain ? SAME_DOMAIN_LATENCY_MS : CROSS_DOMAIN_LATENCY_MS;
    inFlight.add(new Delivery(nowMs + latencyMs, nextSequence++, to, ByteBuffer.wrap(frame)));
  }
}
