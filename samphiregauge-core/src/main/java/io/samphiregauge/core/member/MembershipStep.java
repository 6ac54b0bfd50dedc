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
  private final Map<String, Known> others;
  private final Map<Long, OpenProbe> probes;
  private final long lastStepMs;
  private Member self;
  private OptionalLong contactMs;
  private Rumours rumours;
  private List<String> hints;
  private long probeMs;
  private long exchangeMs;
  private long number;

  MembershipStep(Membership before, long nowMs, RandomSource random) {
    this.nowMs = nowMs;
    this.random = random;
    this.others = new TreeMap<>(before.byVm());
    this.probes = new TreeMap<>(before.probes());
    this.self = before.self();
    this.contactMs = before.contactMs();
    this.rumours = before.rumours();
    this.hints = before.hints();
    this.lastStepMs = before.times().lastStepMs();
    this.probeMs = before.times().probeMs();
    this.exchangeMs = before.times().exchangeMs();
    this.number = before.times().number();
  }

  Step<Membership, MemberAction> take(MemberEvent event) {
    if (event instanceof MemberEvent.Tick) {
      tick();
    }
    if (event instanceof MemberEvent.Received received) {
      receive(received.message());
    }
    if (event instanceof MemberEvent.Progress progress) {
      contactMs = progress.contactMs();
      self = Known.describe(self, self.getState(), progress.appliedOffset(), 0);
    }
    if (event instanceof MemberEvent.Hint hint) {
      hint(hint);
    }
    if (event instanceof MemberEvent.Leave) {
      self = Known.describe(self, MemberState.LEAVING, self.getAppliedOffset(), 0);
      rumours = rumours.with(selfVm());
    }
    Membership.Timetable times = new Membership.Timetable(nowMs, probeMs, exchangeMs, number);
    Membership next = new Membership(self, contactMs, others, rumours, probes, hints, times);
    return new Step<>(next, actions);
  }

  private void tick() {
    if (nowMs - lastStepMs > MemberTimes.PROBE_PERIOD_MS + MemberTimes.PAUSE_MS) {
      forgiveAll();
    }
    checkProbes();
    checkSuspicions();
    if (nowMs >= probeMs) {
      probeMs = nowMs + MemberTimes.PROBE_PERIOD_MS;
      probeOne();
    }
    if (nowMs >= exchangeMs) {
      compareLists();
    }
  }

  /** After a pause, answers and refutations may still be unread; nobody is judged without them. */
  private void forgiveAll() {
    probes.clear();
    others.replaceAll(
        (vm, known) ->
            known.member().getState() == MemberState.SUSPECT
                ? known.inState(MemberState.SUSPECT, nowMs)
                : known);
  }

  private void checkProbes() {
    for (Map.Entry<Long, OpenProbe> entry : List.copyOf(probes.entrySet())) {
      OpenProbe probe = entry.getValue();
      if (nowMs < probe.deadlineMs()) {
        continue;
      }
      boolean over = probe.asked() || probe.asker().isPresent();
      if (over) {
        probes.remove(entry.getKey());
      }
      if (probe.asker().isEmpty()) {
        Optional.ofNullable(others.get(probe.vm()))
            .ifPresent(known -> goOn(entry.getKey(), probe, known));
      }
    }
  }

  private void goOn(long probeNumber, OpenProbe probe, Known target) {
    if (probe.asked()) {
      suspect(target);
      return;
    }
    probes.put(probeNumber, probe.withAsked());
    Predicate<Known> helper = k -> isAlive(k) && !vm(k).equals(probe.vm());
    for (Known known : pick(helper, MemberTimes.INDIRECT_MEMBERS)) {
      send(known, new IndirectProbe(probeNumber, selfNow(), target.toMessage(nowMs)));
    }
  }

  private void suspect(Known target) {
    if (!isAlive(target)) {
      return;
    }
    put(target.inState(MemberState.SUSPECT, nowMs));
    // The suspected member hears of it at once, so that it can refute before the others decide.
    sendProbe(others.get(vm(target)), Optional.empty());
  }

  private void checkSuspicions() {
    for (Known known : List.copyOf(others.values())) {
      long ageMs = nowMs - known.sinceMs();
      MemberState state = known.member().getState();
      if (state == MemberState.SUSPECT && ageMs >= MemberTimes.SUSPICION_MS) {
        put(known.inState(MemberState.DEAD, nowMs));
      }
      if (state == MemberState.DEAD && ageMs >= MemberTimes.FORGET_MS) {
        others.remove(vm(known));
      }
    }
  }

  /** Three of four probes stay inside the failure domain. */
  private void probeOne() {
    boolean remote = (number + 1) % MemberTimes.REMOTE_PROBE_EVERY == 0;
    List<Known> targets = pick(k -> isAlive(k) && isNear(k) != remote, 1);
    if (targets.isEmpty()) {
      targets = pick(this::isAlive, 1);
    }
    targets.forEach(target -> sendProbe(target, Optional.empty()));
  }

  private void sendProbe(Known target, Optional<OpenProbe.Asker> asker) {
    number++;
    probes.put(number, new OpenProbe(vm(target), nowMs, false, asker));
    send(target, new Probe(number, selfNow(), updatesFor(vm(target))));
  }

  /** Also tries an address that no live member has, which heals a view split by a partition. */
  private void compareLists() {
    boolean alone = others.values().stream().noneMatch(Known::isLive);
    exchangeMs = nowMs + (alone ? MemberTimes.PROBE_PERIOD_MS : MemberTimes.EXCHANGE_PERIOD_MS);
    MemberDigest digest = new MemberDigest(selfNow(), Buckets.hashes(all()));
    pick(this::isAlive, 1).forEach(known -> send(known, digest));
    List<String> lost = addressesWithoutMember();
    if (!lost.isEmpty()) {
      actions.add(new MemberAction.Send(lost.get(random.nextIndex(lost.size())), digest));
    }
  }

  private List<String> addressesWithoutMember() {
    Set<String> reached = new HashSet<>();
    reached.add(self.getPeerAddress());
    List<String> lost = new ArrayList<>();
    for (Known known : others.values()) {
      if (known.isLive()) {
        reached.add(known.member().getPeerAddress());
      } else {
        lost.add(known.member().getPeerAddress());
      }
    }
    lost.addAll(hints);
    lost.removeIf(reached::contains);
    return lost;
  }

  private void hint(MemberEvent.Hint hint) {
    hints = hint.addresses();
    for (String vm : hint.leavingVms()) {
      Optional.ofNullable(others.get(vm))
          .filter(known -> known.member().getState() == MemberState.ALIVE)
          .ifPresent(known -> put(known.inState(MemberState.LEAVING, nowMs)));
    }
  }

  private void receive(PeerMessage message) {
    if (message instanceof Probe probe) {
      hear(probe.getSender(), probe.getUpdates());
      List<Member> updates = updatesFor(probe.getSender().getIncarnation().getVm());
      reply(probe.getSender(), new ProbeAck(probe.getNumber(), selfNow(), updates));
    }
    if (message instanceof ProbeAck ack) {
      hear(ack.getSender(), ack.getUpdates());
      Optional.ofNullable(probes.remove(ack.getNumber()))
          .flatMap(OpenProbe::asker)
          .ifPresent(asker -> passOn(asker, ack.getSender()));
    }
    if (message instanceof IndirectProbe indirect) {
      hear(indirect.getSender(), List.of());
      probeFor(indirect);
    }
    if (message instanceof MemberDigest digest) {
      hear(digest.getSender(), List.of());
      compare(digest);
    }
    if (message instanceof MemberExchange exchange) {
      hear(exchange.getSender(), exchange.getMembers());
      exchange
          .getBuckets()
          .filter(buckets -> !exchange.isAnswer())
          .ifPresent(buckets -> answer(exchange, Set.copyOf(buckets)));
    }
  }

  private void passOn(OpenProbe.Asker asker, Member target) {
    actions.add(
        new MemberAction.Send(
            asker.peerAddress(), new ProbeAck(asker.number(), target, List.of())));
  }

  private void probeFor(IndirectProbe indirect) {
    OpenProbe.Asker asker =
        new OpenProbe.Asker(indirect.getSender().getPeerAddress(), indirect.getNumber());
    sendProbe(Known.of(indirect.getTarget(), nowMs), Optional.of(asker));
  }

  private void compare(MemberDigest digest) {
    Set<Integer> buckets = Buckets.differing(Buckets.hashes(all()), digest.getHashes());
    if (!buckets.isEmpty()) {
      List<Member> members = Buckets.select(all(), buckets);
      reply(
          digest.getSender(), new MemberExchange(selfNow(), members, false, List.copyOf(buckets)));
    }
  }

  /** Returns only what the other list lacks or has in an older form. */
  private void answer(MemberExchange exchange, Set<Integer> buckets) {
    Map<String, Member> theirs = new LinkedHashMap<>();
    exchange.getMembers().forEach(m -> theirs.put(m.getIncarnation().getVm(), m));
    List<Member> newer = new ArrayList<>();
    for (Member ours : Buckets.select(all(), buckets)) {
      Optional<Member> their = Optional.ofNullable(theirs.get(ours.getIncarnation().getVm()));
      if (their.filter(t -> !Known.of(t, nowMs).isOlderThan(ours)).isEmpty()) {
        newer.add(ours);
      }
    }
    if (!newer.isEmpty()) {
      reply(exchange.getSender(), new MemberExchange(selfNow(), newer, true));
    }
  }

  private void hear(Member sender, List<Member> updates) {
    merge(sender);
    others.computeIfPresent(
        sender.getIncarnation().getVm(), (vm, known) -> known.refreshed(sender, nowMs));
    updates.forEach(this::merge);
  }

  private void merge(Member update) {
    String vm = update.getIncarnation().getVm();
    if (vm.equals(selfVm())) {
      refute(update);
      return;
    }
    Optional<Known> known = Optional.ofNullable(others.get(vm));
    boolean unknownAndDead = known.isEmpty() && update.getState() == MemberState.DEAD;
    if (!unknownAndDead && known.filter(k -> !k.isOlderThan(update)).isEmpty()) {
      put(Known.of(update, nowMs));
    }
  }

  private void refute(Member claim) {
    boolean doubted =
        claim.getState() == MemberState.SUSPECT || claim.getState() == MemberState.DEAD;
    boolean counts = claim.getRefutation() >= self.getRefutation();
    if (!doubted || !counts || !claim.getIncarnation().equals(self.getIncarnation())) {
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
    rumours = rumours.with(selfVm());
  }

  private void put(Known known) {
    others.put(vm(known), known);
    rumours = rumours.with(vm(known));
    actions.add(new MemberAction.Changed(known.member()));
  }

  /** Adds to the rumours what the receiver must refute, if this process doubts it. */
  private List<Member> updatesFor(String receiver) {
    boolean doubted =
        Optional.ofNullable(others.get(receiver)).filter(known -> !isAlive(known)).isPresent();
    Set<String> vms = rumours.next(doubted ? Set.of(receiver) : Set.of());
    rumours = rumours.sent(vms, others.size() + 1);
    List<Member> updates = new ArrayList<>();
    for (String vm : vms) {
      // Each message describes its sender already.
      Optional.ofNullable(others.get(vm)).ifPresent(known -> updates.add(known.toMessage(nowMs)));
    }
    return updates;
  }

  private List<Known> pick(Predicate<Known> fits, int count) {
    List<Known> pool = new ArrayList<>(others.values().stream().filter(fits).toList());
    List<Known> picked = new ArrayList<>();
    while (picked.size() < count && !pool.isEmpty()) {
      picked.add(pool.remove(random.nextIndex(pool.size())));
    }
    return picked;
  }

  private List<Member> all() {
    List<Member> members = new ArrayList<>();
    members.add(selfNow());
    others.values().forEach(known -> members.add(known.toMessage(nowMs)));
    return members;
  }

  private void send(Known target, PeerMessage message) {
    reply(target.member(), message);
  }

  private void reply(Member target, PeerMessage message) {
    actions.add(new MemberAction.Send(target.getPeerAddress(), message));
  }

  private Member selfNow() {
    return Known.describe(
        self, self.getState(), self.getAppliedOffset(), Known.age(contactMs, nowMs));
  }

  private boolean isAlive(Known known) {
    MemberState state = known.member().getState();
    return state == MemberState.ALIVE || state == MemberState.LEAVING;
  }

  private boolean isNear(Known known) {
    return known.member().getFailureDomain().equals(self.getFailureDomain());
  }

  private String selfVm() {
    return self.getIncarnation().getVm();
  }

  private static String vm(Known known) {
    return known.member().getIncarnation().getVm();
  }
}
