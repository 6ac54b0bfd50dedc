package io.samphiregauge.core.member;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiregauge.core.RandomSource;
import io.samphiregauge.core.Step;
import io.samphiregauge.schema.PeerMessage;
import io.samphiregauge.schema.peer.IndirectProbe;
import io.samphiregauge.schema.peer.Member;
import io.samphiregauge.schema.peer.MemberState;
import io.samphiregauge.schema.peer.Probe;
import io.samphiregauge.schema.peer.ProbeAck;
import io.samphiregauge.schema.record.Incarnation;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Guards against undetected failures, live members that stay dead, and split member lists. */
class MembershipTest {
  private static final int MEMBERS = 8;

  @Test
  void allMembersDetectAFailureAndSuspectNoOtherMember() {
    Group group = new Group(MEMBERS, 1);
    group.run(30_000);
    assertThat(group.count(MemberState.ALIVE)).isEqualTo(MEMBERS * (MEMBERS - 1));
    group.down.add(3);
    // Probed within 5 s, 1 s to suspicion, 4 s to confirmation, and 5 s to spread.
    group.run(15_000);
    assertThat(group.count(MemberState.DEAD)).isEqualTo(MEMBERS - 1);
    assertThat(group.count(MemberState.SUSPECT)).isZero();
  }

  @Test
  void aReachableMemberRefutesItsDeath() {
    Group group = new Group(MEMBERS, 2);
    group.run(30_000);
    group.down.add(3);
    group.run(20_000);
    assertThat(group.count(MemberState.DEAD)).isEqualTo(MEMBERS - 1);
    group.down.clear();
    group.run(90_000);
    assertThat(group.count(MemberState.ALIVE)).isEqualTo(MEMBERS * (MEMBERS - 1));
  }

  @Test
  void indirectProbesBypassABrokenLink() {
    Group group = new Group(MEMBERS, 3);
    group.run(30_000);
    group.cutLinks.add(Set.of(0, 1));
    group.run(60_000);
    assertThat(group.count(MemberState.DEAD)).isZero();
    assertThat(group.sent).anyMatch(IndirectProbe.class::isInstance);
  }

  @Test
  void bothSidesOfAPartitionMergeAfterItHeals() {
    Group group = new Group(MEMBERS, 4);
    group.run(30_000);
    for (int i = 0; i < 4; i++) {
      for (int j = 4; j < MEMBERS; j++) {
        group.cutLinks.add(Set.of(i, j));
      }
    }
    group.run(60_000);
    assertThat(group.count(MemberState.DEAD)).isEqualTo(2 * 4 * 4);
    group.cutLinks.clear();
    group.run(120_000);
    assertThat(group.count(MemberState.ALIVE)).isEqualTo(MEMBERS * (MEMBERS - 1));
  }

  @Test
  void aPausedProcessSuspectsNoMemberForUnreadAcknowledgements() {
    Group group = new Group(MEMBERS, 5);
    group.run(30_000);
    Membership paused = group.members.get(0);
    long wakeMs = group.nowMs + 60_000;
    Step<Membership, MemberAction> step =
        paused.handle(new MemberEvent.Tick(), wakeMs, group.random);
    assertThat(step.actions()).noneMatch(MemberAction.Changed.class::isInstance);
  }

  @Test
  void aNewerProcessOnAVmReplacesTheOlderOneForGood() {
    Membership first = Membership.of(Group.member(0, 1), List.of(), 0);
    RandomSource zero = () -> 0;
    Membership old = first.handle(probeFrom(Group.member(1, 5)), 0, zero).state();
    Membership next = old.handle(probeFrom(Group.member(1, 9)), 0, zero).state();
    Membership late = next.handle(probeFrom(Group.member(1, 5)), 0, zero).state();
    assertThat(late.find("vm1").orElseThrow().member().getIncarnation().getStartMs()).isEqualTo(9);
  }

  @Test
  void theLogContactAgeIsComputedWhenSending() {
    RandomSource zero = () -> 0;
    Membership first = Membership.of(Group.member(0, 1), List.of(), 0);
    Membership informed =
        first.handle(new MemberEvent.Progress(7, OptionalLong.of(100)), 100, zero).state();
    Step<Membership, MemberAction> step = informed.handle(probeFrom(Group.member(1, 1)), 350, zero);
    ProbeAck ack =
        (ProbeAck) ((MemberAction.Send) step.actions().get(step.actions().size() - 1)).message();
    assertThat(ack.getSender().getLogContactAgeMs()).isEqualTo(250);
    assertThat(ack.getSender().getAppliedOffset()).isEqualTo(7);
  }

  private static MemberEvent probeFrom(Member sender) {
    return new MemberEvent.Received(new Probe(1, sender, List.of()));
  }

  /** Members that exchange messages without delay, in virtual time. */
  private static final class Group {
    final RandomSource random;
    final List<Membership> members = new ArrayList<>();
    final Set<Integer> down = new HashSet<>();
    final Set<Set<Integer>> cutLinks = new HashSet<>();
    final List<PeerMessage> sent = new ArrayList<>();
    long nowMs;

    Group(int count, long seed) {
      SplittableRandom numbers = new SplittableRandom(seed);
      random = numbers::nextLong;
      for (int i = 0; i < count; i++) {
        members.add(Membership.of(member(i, 1), List.of("0"), 0));
      }
    }

    static Member member(int index, long startMs) {
      return new Member(
          new Incarnation("vm" + index, startMs, 1L),
          "luzon",
          "domain" + index / 4,
          "127.0.0.1:80",
          Integer.toString(index),
          MemberState.ALIVE,
          0,
          0,
          0);
    }

    void run(long ms) {
      for (long end = nowMs + ms; nowMs < end; nowMs += 10) {
        for (int i = 0; i < members.size(); i++) {
          if (members.get(i).deadlineMs() <= nowMs) {
            step(i, new MemberEvent.Tick());
          }
        }
      }
    }

    private void step(int index, MemberEvent event) {
      if (down.contains(index)) {
        return;
      }
      Step<Membership, MemberAction> step = members.get(index).handle(event, nowMs, random);
      members.set(index, step.state());
      for (MemberAction action : step.actions()) {
        if (action instanceof MemberAction.Send send) {
          sent.add(send.message());
          int to = Integer.parseInt(send.peerAddress());
          if (!cutLinks.contains(Set.of(index, to)) && !down.contains(to)) {
            step(to, new MemberEvent.Received(send.message()));
          }
        }
      }
    }

    long count(MemberState state) {
      long count = 0;
      for (int i = 0; i < members.size(); i++) {
        if (!down.contains(i)) {
          count += members.get(i).others().stream().filter(k -> hasState(k, state)).count();
        }
      }
      return count;
    }

    private static boolean hasState(KnownMember known, MemberState state) {
      return known.member().getState() == state;
    }
  }
}
