package io.samphiregauge.core.member;

import io.samphiregauge.core.RandomSource;
import io.samphiregauge.core.Step;
import io.samphiregauge.schema.PeerMessage;
import io.samphiregauge.schema.peer.IndirectProbe;
import io.samphiregauge.schema.peer.Member;
import io.samphiregauge.schema.peer.MemberDigest;
import io.samphiregauge.schema.peer.MemberExchange;
import io.samphiregauge.schema.peer.MemberState;
import io.samphiregauge.schema.peer.Probe;
import io.samphiregauge.schema.peer.ProbeAck;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;

/** Computes the {@link Membership} that results from one event, and the actions to perform. */
final class MembershipEventHandler {
  private final long nowMs;
  private final RandomSource random;
  private final List<MemberAction> actions = new ArrayList<>();
  private final Map<String, KnownMember> others;
  private final Map<Long, PendingProbe> pendingProbes;
  private final long lastStepMs;
  private Member self;
  private OptionalLong logContactMs;
  private BroadcastQueue broadcasts;
  private List<String> hintedAddresses;
  private long nextProbeMs;
  private long nextExchangeMs;
  private long lastProbeNumber;

  MembershipEventHandler(Membership previous, long nowMs, RandomSource random) {
    this.nowMs = nowMs;
    this.random = random;
    this.others = new TreeMap<>(previous.othersByVm());
    this.pendingProbes = new TreeMap<>(previous.pendingProbes());
    this.self = previous.self();
    this.logContactMs = previous.logContactMs();
    this.broadcasts = previous.broadcasts();
    this.hintedAddresses = previous.hintedAddresses();
    this.lastStepMs = previous.schedule().lastStepMs();
    this.nextProbeMs = previous.schedule().nextProbeMs();
    this.nextExchangeMs = previous.schedule().nextExchangeMs();
    this.lastProbeNumber = previous.schedule().lastProbeNumber();
  }

  Step<Membership, MemberAction> handle(MemberEvent event) {
    if (event instanceof MemberEvent.Tick) {
      tick();
    }
    if (event instanceof MemberEvent.Received received) {
      receive(received.message());
    }
    if (event instanceof MemberEvent.Progress progress) {
      logContactMs = progress.logContactMs();
      self = KnownMember.copyOf(self, self.getState(), progress.appliedOffset(), 0);
    }
    if (event instanceof MemberEvent.Hint hint) {
      applyHint(hint);
    }
    if (event instanceof MemberEvent.Leave) {
      self = KnownMember.copyOf(self, MemberState.LEAVING, self.getAppliedOffset(), 0);
      broadcasts = broadcasts.withUpdate(selfVm());
    }
    Membership.Schedule schedule =
        new Membership.Schedule(nowMs, nextProbeMs, nextExchangeMs, lastProbeNumber);
    Membership next =
        new Membership(
            self, logContactMs, others, broadcasts, pendingProbes, hintedAddresses, schedule);
    return new Step<>(next, actions);
  }

  private void tick() {
    if (nowMs - lastStepMs
        > GossipParameters.PROBE_PERIOD_MS + GossipParameters.PAUSE_THRESHOLD_MS) {
      resetTimeoutsAfterPause();
    }
    handleProbeTimeouts();
    handleMemberTimeouts();
    if (nowMs >= nextProbeMs) {
      nextProbeMs = nowMs + GossipParameters.PROBE_PERIOD_MS;
      probeNext();
    }
    if (nowMs >= nextExchangeMs) {
      sendDigest();
    }
  }

  /**
   * Discards pending probes and restarts suspicion timeouts. After a pause, acknowledgements and
   * refutations may still be unread, so an elapsed timeout does not indicate a failure.
   */
  private void resetTimeoutsAfterPause() {
    pendingProbes.clear();
    others.replaceAll(
        (vm, known) ->
            known.member().getState() == MemberState.SUSPECT
                ? known.withState(MemberState.SUSPECT, nowMs)
                : known);
  }

  private void handleProbeTimeouts() {
    for (Map.Entry<Long, PendingProbe> entry : List.copyOf(pendingProbes.entrySet())) {
      PendingProbe probe = entry.getValue();
      if (nowMs < probe.deadlineMs()) {
        continue;
      }
      boolean finished = probe.indirectSent() || probe.requester().isPresent();
      if (finished) {
        pendingProbes.remove(entry.getKey());
      }
      if (probe.requester().isEmpty()) {
        Optional.ofNullable(others.get(probe.vm()))
            .ifPresent(known -> escalate(entry.getKey(), probe, known));
      }
    }
  }

  private void escalate(long probeNumber, PendingProbe probe, KnownMember target) {
    if (probe.indirectSent()) {
      markSuspect(target);
      return;
    }
    pendingProbes.put(probeNumber, probe.withIndirectSent());
    Predicate<KnownMember> eligible = k -> isAliveOrLeaving(k) && !vm(k).equals(probe.vm());
    for (KnownMember known : pickRandom(eligible, GossipParameters.INDIRECT_PROBE_COUNT)) {
      sendTo(known, new IndirectProbe(probeNumber, selfMessage(), target.toMessage(nowMs)));
    }
  }

  private void markSuspect(KnownMember target) {
    if (!isAliveOrLeaving(target)) {
      return;
    }
    updateAndBroadcast(target.withState(MemberState.SUSPECT, nowMs));
    // Probes the suspect at once, so that it can refute before its suspicion timeout elapses.
    sendProbe(others.get(vm(target)), Optional.empty());
  }

  /**
   * Declares suspects dead after the suspicion timeout, and removes the dead after their retention.
   */
  private void handleMemberTimeouts() {
    for (KnownMember known : List.copyOf(others.values())) {
      long ageMs = nowMs - known.stateSinceMs();
      MemberState state = known.member().getState();
      if (state == MemberState.SUSPECT && ageMs >= GossipParameters.SUSPICION_TIMEOUT_MS) {
        updateAndBroadcast(known.withState(MemberState.DEAD, nowMs));
      }
      if (state == MemberState.DEAD && ageMs >= GossipParameters.DEAD_RETENTION_MS) {
        others.remove(vm(known));
      }
    }
  }

  /**
   * Probes a random alive or leaving member. It is in another failure domain if the number of the
   * probe is a multiple of {@link GossipParameters#REMOTE_PROBE_INTERVAL}, and otherwise in the
   * failure domain of this process; without such a member, it is in any failure domain. Probes of
   * suspects and on behalf of other members are numbered too.
   */
  private void probeNext() {
    boolean remote = (lastProbeNumber + 1) % GossipParameters.REMOTE_PROBE_INTERVAL == 0;
    List<KnownMember> targets =
        pickRandom(k -> isAliveOrLeaving(k) && isInOwnDomain(k) != remote, 1);
    if (targets.isEmpty()) {
      targets = pickRandom(this::isAliveOrLeaving, 1);
    }
    targets.forEach(target -> sendProbe(target, Optional.empty()));
  }

  private void sendProbe(KnownMember target, Optional<PendingProbe.Requester> requester) {
    lastProbeNumber++;
    pendingProbes.put(lastProbeNumber, new PendingProbe(vm(target), nowMs, false, requester));
    sendTo(target, new Probe(lastProbeNumber, selfMessage(), updatesFor(vm(target))));
  }

  /**
   * Sends a digest to a random alive or leaving member, and to a random address that is known from
   * a hint or a dead member and not used by any other known member. The latter merges member lists
   * that a partition has split.
   */
  private void sendDigest() {
    boolean noLiveMember = others.values().stream().noneMatch(KnownMember::isLive);
    nextExchangeMs =
        nowMs
            + (noLiveMember
                ? GossipParameters.PROBE_PERIOD_MS
                : GossipParameters.EXCHANGE_PERIOD_MS);
    MemberDigest digest = new MemberDigest(selfMessage(), DigestBuckets.hashes(allMembers()));
    pickRandom(this::isAliveOrLeaving, 1).forEach(known -> sendTo(known, digest));
    List<String> addresses = addressesWithoutLiveMember();
    if (!addresses.isEmpty()) {
      actions.add(new MemberAction.Send(addresses.get(random.nextIndex(addresses.size())), digest));
    }
  }

  private List<String> addressesWithoutLiveMember() {
    Set<String> liveAddresses = new HashSet<>();
    liveAddresses.add(self.getPeerAddress());
    List<String> addresses = new ArrayList<>();
    for (KnownMember known : others.values()) {
      if (known.isLive()) {
        liveAddresses.add(known.member().getPeerAddress());
      } else {
        addresses.add(known.member().getPeerAddress());
      }
    }
    addresses.addAll(hintedAddresses);
    addresses.removeIf(liveAddresses::contains);
    return addresses;
  }

  private void applyHint(MemberEvent.Hint hint) {
    hintedAddresses = hint.addresses();
    for (String vm : hint.leavingVms()) {
      Optional.ofNullable(others.get(vm))
          .filter(known -> known.member().getState() == MemberState.ALIVE)
          .ifPresent(known -> updateAndBroadcast(known.withState(MemberState.LEAVING, nowMs)));
    }
  }

  private void receive(PeerMessage message) {
    if (message instanceof Probe probe) {
      mergeFrom(probe.getSender(), probe.getUpdates());
      List<Member> updates = updatesFor(probe.getSender().getIncarnation().getVm());
      sendTo(probe.getSender(), new ProbeAck(probe.getNumber(), selfMessage(), updates));
    }
    if (message instanceof ProbeAck ack) {
      mergeFrom(ack.getSender(), ack.getUpdates());
      Optional.ofNullable(pendingProbes.remove(ack.getNumber()))
          .flatMap(PendingProbe::requester)
          .ifPresent(requester -> forwardAck(requester, ack.getSender()));
    }
    if (message instanceof IndirectProbe indirect) {
      mergeFrom(indirect.getSender(), List.of());
      probeOnBehalfOf(indirect);
    }
    if (message instanceof MemberDigest digest) {
      mergeFrom(digest.getSender(), List.of());
      sendDifferingBuckets(digest);
    }
    if (message instanceof MemberExchange exchange) {
      mergeFrom(exchange.getSender(), exchange.getMembers());
      exchange
          .getBuckets()
          .filter(buckets -> !exchange.isAnswer())
          .ifPresent(buckets -> sendNewerMembers(exchange, Set.copyOf(buckets)));
    }
  }

  private void forwardAck(PendingProbe.Requester requester, Member target) {
    actions.add(
        new MemberAction.Send(
            requester.peerAddress(), new ProbeAck(requester.number(), target, List.of())));
  }

  private void probeOnBehalfOf(IndirectProbe indirect) {
    PendingProbe.Requester requester =
        new PendingProbe.Requester(indirect.getSender().getPeerAddress(), indirect.getNumber());
    sendProbe(KnownMember.of(indirect.getTarget(), nowMs), Optional.of(requester));
  }

  private void sendDifferingBuckets(MemberDigest digest) {
    Set<Integer> buckets =
        DigestBuckets.differing(DigestBuckets.hashes(allMembers()), digest.getHashes());
    if (!buckets.isEmpty()) {
      List<Member> members = DigestBuckets.select(allMembers(), buckets);
      sendTo(
          digest.getSender(),
          new MemberExchange(selfMessage(), members, false, List.copyOf(buckets)));
    }
  }

  /** Sends the members that the remote list lacks or holds in an older version. */
  private void sendNewerMembers(MemberExchange exchange, Set<Integer> buckets) {
    Map<String, Member> remoteByVm = new LinkedHashMap<>();
    exchange.getMembers().forEach(m -> remoteByVm.put(m.getIncarnation().getVm(), m));
    List<Member> newer = new ArrayList<>();
    for (Member local : DigestBuckets.select(allMembers(), buckets)) {
      Optional<Member> remote = Optional.ofNullable(remoteByVm.get(local.getIncarnation().getVm()));
      if (remote.filter(r -> !KnownMember.of(r, nowMs).isSupersededBy(local)).isEmpty()) {
        newer.add(local);
      }
    }
    if (!newer.isEmpty()) {
      sendTo(exchange.getSender(), new MemberExchange(selfMessage(), newer, true));
    }
  }

  private void mergeFrom(Member sender, List<Member> updates) {
    merge(sender);
    others.computeIfPresent(
        sender.getIncarnation().getVm(), (vm, known) -> known.withProgressFrom(sender, nowMs));
    updates.forEach(this::merge);
  }

  private void merge(Member update) {
    String vm = update.getIncarnation().getVm();
    if (vm.equals(selfVm())) {
      refute(update);
      return;
    }
    Optional<KnownMember> known = Optional.ofNullable(others.get(vm));
    boolean unknownAndDead = known.isEmpty() && update.getState() == MemberState.DEAD;
    if (!unknownAndDead && known.filter(k -> !k.isSupersededBy(update)).isEmpty()) {
      updateAndBroadcast(KnownMember.of(update, nowMs));
    }
  }

  /** Raises the refutation number of this process if a member reports it suspect or dead. */
  private void refute(Member claim) {
    boolean suspectedOrDead =
        claim.getState() == MemberState.SUSPECT || claim.getState() == MemberState.DEAD;
    boolean current = claim.getRefutation() >= self.getRefutation();
    if (!suspectedOrDead || !current || !claim.getIncarnation().equals(self.getIncarnation())) {
      return;
    }
    self =
        new Member(
            self.getIncarnation(),
            self.getRegion(),
            self.getFailureDomain(),
            self.getHttpAddress(),
            self.getPeerAddress(),
            self.getState(),
            claim.getRefutation() + 1,
            self.getAppliedOffset(),
            0);
    broadcasts = broadcasts.withUpdate(selfVm());
  }

  private void updateAndBroadcast(KnownMember known) {
    others.put(vm(known), known);
    broadcasts = broadcasts.withUpdate(vm(known));
    actions.add(new MemberAction.Changed(known.member()));
  }

  /**
   * Returns the queued updates for a message. If this process lists the receiver as suspect or
   * dead, the update about the receiver comes first, so that the receiver can refute it.
   */
  private List<Member> updatesFor(String receiver) {
    boolean suspectedOrDead =
        Optional.ofNullable(others.get(receiver))
            .filter(known -> !isAliveOrLeaving(known))
            .isPresent();
    Set<String> vms = broadcasts.nextUpdates(suspectedOrDead ? Set.of(receiver) : Set.of());
    broadcasts = broadcasts.withSent(vms, others.size() + 1);
    List<Member> updates = new ArrayList<>();
    for (String vm : vms) {
      // Skips this process, which every message describes as its sender.
      Optional.ofNullable(others.get(vm)).ifPresent(known -> updates.add(known.toMessage(nowMs)));
    }
    return updates;
  }

  private List<KnownMember> pickRandom(Predicate<KnownMember> filter, int count) {
    List<KnownMember> candidates =
        new ArrayList<>(others.values().stream().filter(filter).toList());
    List<KnownMember> picked = new ArrayList<>();
    while (picked.size() < count && !candidates.isEmpty()) {
      picked.add(candidates.remove(random.nextIndex(candidates.size())));
    }
    return picked;
  }

  private List<Member> allMembers() {
    List<Member> members = new ArrayList<>();
    members.add(selfMessage());
    others.values().forEach(known -> members.add(known.toMessage(nowMs)));
    return members;
  }

  private void sendTo(KnownMember target, PeerMessage message) {
    sendTo(target.member(), message);
  }

  private void sendTo(Member target, PeerMessage message) {
    actions.add(new MemberAction.Send(target.getPeerAddress(), message));
  }

  private Member selfMessage() {
    return KnownMember.copyOf(
        self,
        self.getState(),
        self.getAppliedOffset(),
        KnownMember.logContactAgeMs(logContactMs, nowMs));
  }

  private boolean isAliveOrLeaving(KnownMember known) {
    MemberState state = known.member().getState();
    return state == MemberState.ALIVE || state == MemberState.LEAVING;
  }

  private boolean isInOwnDomain(KnownMember known) {
    return known.member().getFailureDomain().equals(self.getFailureDomain());
  }

  private String selfVm() {
    return self.getIncarnation().getVm();
  }

  private static String vm(KnownMember known) {
    return known.member().getIncarnation().getVm();
  }
}
