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

/** One step of the membership; works on copies and freezes them into the next view. */
final class MembershipStep {
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

  MembershipStep(Membership before, long nowMs, RandomSource random) {
    this.nowMs = nowMs;
    this.random = random;
    this.others = new TreeMap<>(before.othersByVm());
    this.pendingProbes = new TreeMap<>(before.pendingProbes());
    this.self = before.self();
    this.logContactMs = before.logContactMs();
    this.broadcasts = before.broadcasts();
    this.hintedAddresses = before.hintedAddresses();
    this.lastStepMs = before.schedule().lastStepMs();
    this.nextProbeMs = before.schedule().nextProbeMs();
    this.nextExchangeMs = before.schedule().nextExchangeMs();
    this.lastProbeNumber = before.schedule().lastProbeNumber();
  }

  Step<Membership, MemberAction> apply(MemberEvent event) {
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
    expireMembers();
    if (nowMs >= nextProbeMs) {
      nextProbeMs = nowMs + GossipParameters.PROBE_PERIOD_MS;
      probeNext();
    }
    if (nowMs >= nextExchangeMs) {
      sendDigest();
    }
  }

  /** After a pause, answers and refutations may still be unread; nobody is judged without them. */
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
    Predicate<KnownMember> helper = k -> isAlive(k) && !vm(k).equals(probe.vm());
    for (KnownMember known : pickRandom(helper, GossipParameters.INDIRECT_PROBE_COUNT)) {
      sendToKnown(known, new IndirectProbe(probeNumber, selfMessage(), target.toMessage(nowMs)));
    }
  }

  private void markSuspect(KnownMember target) {
    if (!isAlive(target)) {
      return;
    }
    updateAndBroadcast(target.withState(MemberState.SUSPECT, nowMs));
    // The suspected member hears of it at once, so that it can refute before the others decide.
    sendProbe(others.get(vm(target)), Optional.empty());
  }

  private void expireMembers() {
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

  /** Three of four probes stay inside the failure domain. */
  private void probeNext() {
    boolean remote = (lastProbeNumber + 1) % GossipParameters.REMOTE_PROBE_INTERVAL == 0;
    List<KnownMember> targets = pickRandom(k -> isAlive(k) && isInOwnDomain(k) != remote, 1);
    if (targets.isEmpty()) {
      targets = pickRandom(this::isAlive, 1);
    }
    targets.forEach(target -> sendProbe(target, Optional.empty()));
  }

  private void sendProbe(KnownMember target, Optional<PendingProbe.Requester> asker) {
    lastProbeNumber++;
    pendingProbes.put(lastProbeNumber, new PendingProbe(vm(target), nowMs, false, asker));
    sendToKnown(target, new Probe(lastProbeNumber, selfMessage(), updatesFor(vm(target))));
  }

  /** Also tries an address that no live member has, which heals a view split by a partition. */
  private void sendDigest() {
    boolean alone = others.values().stream().noneMatch(KnownMember::isLive);
    nextExchangeMs =
        nowMs + (alone ? GossipParameters.PROBE_PERIOD_MS : GossipParameters.EXCHANGE_PERIOD_MS);
    MemberDigest digest = new MemberDigest(selfMessage(), DigestBuckets.hashes(allMembers()));
    pickRandom(this::isAlive, 1).forEach(known -> sendToKnown(known, digest));
    List<String> unreached = addressesWithoutLiveMember();
    if (!unreached.isEmpty()) {
      actions.add(new MemberAction.Send(unreached.get(random.nextIndex(unreached.size())), digest));
    }
  }

  private List<String> addressesWithoutLiveMember() {
    Set<String> liveAddresses = new HashSet<>();
    liveAddresses.add(self.getPeerAddress());
    List<String> unreached = new ArrayList<>();
    for (KnownMember known : others.values()) {
      if (known.isLive()) {
        liveAddresses.add(known.member().getPeerAddress());
      } else {
        unreached.add(known.member().getPeerAddress());
      }
    }
    unreached.addAll(hintedAddresses);
    unreached.removeIf(liveAddresses::contains);
    return unreached;
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
          .ifPresent(asker -> forwardAck(asker, ack.getSender()));
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

  private void forwardAck(PendingProbe.Requester asker, Member target) {
    actions.add(
        new MemberAction.Send(
            asker.peerAddress(), new ProbeAck(asker.number(), target, List.of())));
  }

  private void probeOnBehalfOf(IndirectProbe indirect) {
    PendingProbe.Requester asker =
        new PendingProbe.Requester(indirect.getSender().getPeerAddress(), indirect.getNumber());
    sendProbe(KnownMember.of(indirect.getTarget(), nowMs), Optional.of(asker));
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

  /** Returns only what the other list lacks or has in an older form. */
  private void sendNewerMembers(MemberExchange exchange, Set<Integer> buckets) {
    Map<String, Member> remoteByVm = new LinkedHashMap<>();
    exchange.getMembers().forEach(m -> remoteByVm.put(m.getIncarnation().getVm(), m));
    List<Member> newer = new ArrayList<>();
    for (Member local : DigestBuckets.select(allMembers(), buckets)) {
      Optional<Member> remote = Optional.ofNullable(remoteByVm.get(local.getIncarnation().getVm()));
      if (remote.filter(t -> !KnownMember.of(t, nowMs).isSupersededBy(local)).isEmpty()) {
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

  /** Adds to the rumours what the receiver must refute, if this process doubts it. */
  private List<Member> updatesFor(String receiver) {
    boolean suspectedOrDead =
        Optional.ofNullable(others.get(receiver)).filter(known -> !isAlive(known)).isPresent();
    Set<String> vms = broadcasts.nextUpdates(suspectedOrDead ? Set.of(receiver) : Set.of());
    broadcasts = broadcasts.withSent(vms, others.size() + 1);
    List<Member> updates = new ArrayList<>();
    for (String vm : vms) {
      // Each message describes its sender already.
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

  private void sendToKnown(KnownMember target, PeerMessage message) {
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

  private boolean isAlive(KnownMember known) {
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
