package io.samphiregauge.core.quota;

import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.quota.LenderRoster.Member;
import io.samphiregauge.core.site.TeamQuota;
import io.samphiregauge.schema.PeerMessage;
import io.samphiregauge.schema.peer.QuotaAsk;
import io.samphiregauge.schema.peer.QuotaCredit;
import io.samphiregauge.schema.peer.QuotaGrant;
import io.samphiregauge.schema.peer.QuotaHandover;
import io.samphiregauge.schema.peer.QuotaLevel;
import io.samphiregauge.schema.peer.QuotaNeed;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Decides which messages about credit an entry sends: asks to the lenders, grants for the teams
 * that it lends for, and the handover of teams whose lender has changed. Performs no I/O. Not
 * thread-safe.
 */
public final class CreditExchange {
  private final Member self;
  private final LenderRoster roster;
  private final QuotaLender lender;
  private List<Member> members = List.of();
  private Map<String, TeamQuota> quotas = Map.of();
  private MembershipLease lease = MembershipLease.NONE;

  /**
   * A message and the peer address of its receiver.
   *
   * @param address the peer address
   * @param message the message
   */
  public record Outgoing(String address, PeerMessage message) {}

  /**
   * Credit that was lent to this entry.
   *
   * @param number number of the ask
   * @param team name of the team
   * @param credit what was lent
   */
  public record Received(long number, String team, LentCredit credit) {}

  /**
   * A loan of this entry.
   *
   * @param team name of the team
   * @param amount what was lent
   * @param level what is left
   */
  public record Loan(String team, long amount, long level) {}

  /**
   * A team that another entry passed on.
   *
   * @param team name of the team
   * @param from VM of the sender
   * @param level unlent credit
   * @param accepted whether this entry lends for the team from now on
   */
  public record Takeover(String team, String from, long level, boolean accepted) {}

  /**
   * What follows from an event.
   *
   * @param outgoing messages to send
   * @param received credit for this entry
   * @param loans what this entry has lent
   * @param takeovers teams that were passed on to this entry
   */
  public record Step(
      List<Outgoing> outgoing,
      List<Received> received,
      List<Loan> loans,
      List<Takeover> takeovers) {
    static Step empty() {
      return new Step(new ArrayList<>(), new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
    }
  }

  /**
   * Creates the exchange of an entry that knows no others.
   *
   * @param self this entry
   * @param tolerance how far quotas may be exceeded
   */
  public CreditExchange(Member self, QuotaTolerance tolerance) {
    this.self = self;
    this.roster = new LenderRoster(self.vm());
    this.lender = new QuotaLender(tolerance);
  }

  /** Returns the lender of a team as far as known. */
  public Optional<Member> lenderOf(String team) {
    return roster.first(team);
  }

  /**
   * Adopts the control state, and passes teams on whose lender has changed.
   *
   * @param newMembers members of the group, of which the newest process of each VM counts
   * @param newLease how long the list is valid
   * @param newQuotas quotas of all teams that have one
   * @param now current time
   * @return messages to the new lenders
   */
  public List<Outgoing> update(
      List<Member> newMembers,
      MembershipLease newLease,
      Map<String, TeamQuota> newQuotas,
      DualTimestamp now) {
    lease = newLease;
    long nowMs = now.monotonicMs();
    if (!newQuotas.equals(quotas)) {
      quotas = newQuotas;
      lender.remove(team -> !newQuotas.containsKey(team), nowMs);
    }
    if (roster.checkLease(lease, now)) {
      lender.remove(team -> true, nowMs);
    }

    if (newMembers.equals(members)) {
      return List.of();
    }
    members = newMembers;
    roster.setMembers(newestOfEachVm(members), nowMs);
    return passOn(lender.remove(team -> !roster.isFirst(team), nowMs));
  }

  private List<Outgoing> passOn(Map<String, Long> levels) {
    Map<Member, List<QuotaLevel>> levelsByLender = new LinkedHashMap<>();
    levels.forEach(
        (team, level) -> {
          roster.release(team);
          roster
              .first(team)
              .ifPresent(
                  member ->
                      levelsByLender
                          .computeIfAbsent(member, key -> new ArrayList<>())
                          .add(new QuotaLevel(team, level)));
        });
    List<Outgoing> outgoing = new ArrayList<>();
    levelsByLender.forEach(
        (member, teams) ->
            outgoing.add(
                new Outgoing(
                    member.address(), new QuotaHandover(self.vm(), self.startMs(), teams))));
    return outgoing;
  }

  private static List<Member> newestOfEachVm(List<Member> all) {
    Map<String, Member> newest = new LinkedHashMap<>();
    all.forEach(
        member -> newest.merge(member.vm(), member, (a, b) -> a.startMs() >= b.startMs() ? a : b));
    return List.copyOf(newest.values());
  }

  /**
   * Asks the lenders for credit.
   *
   * @param ask the ask of this entry
   * @param now current time
   * @return the messages, and what this entry lends itself
   */
  public Step ask(QuotaBorrower.Ask ask, DualTimestamp now) {
    Step step = Step.empty();
    Map<String, List<QuotaNeed>> needsByAddress = new LinkedHashMap<>();
    for (CreditNeed need : ask.needs()) {
      Optional<LentCredit> lent = lend(need, step, now);
      lent.ifPresent(
          credit -> step.received().add(new Received(ask.number(), need.team(), credit)));
      if (lent.isEmpty()) {
        Optional<Member> target =
            roster.isFirst(need.team())
                ? roster.alternative(need.team())
                : roster.first(need.team());
        target.ifPresent(
            member ->
                needsByAddress
                    .computeIfAbsent(member.address(), address -> new ArrayList<>())
                    .add(new QuotaNeed(need.team(), need.costs(), need.ahead())));
      }
    }
    needsByAddress.forEach(
        (address, needs) ->
            step.outgoing()
                .add(
                    new Outgoing(
                        address, new QuotaAsk(ask.number(), self.address(), false, needs))));
    return step;
  }

  /**
   * Handles a message of another entry.
   *
   * @param message the message
   * @param now current time
   * @return what follows
   */
  public Step receive(PeerMessage message, DualTimestamp now) {
    Step step = Step.empty();
    if (message instanceof QuotaAsk ask) {
      answer(ask, step, now);
    } else if (message instanceof QuotaGrant grant) {
      for (QuotaCredit credit : grant.getCredits()) {
        LentCredit lent = new LentCredit(credit.getAmount(), credit.getRetryMs());
        step.received().add(new Received(grant.getNumber(), credit.getTeam(), lent));
      }
    } else if (message instanceof QuotaHandover handover) {
      handover.getLevels().forEach(level -> takeOver(handover, level, step, now));
    }
    return step;
  }

  /** Answers an ask as far as this entry is the lender, and passes the rest on, once. */
  private void answer(QuotaAsk ask, Step step, DualTimestamp now) {
    List<QuotaCredit> credits = new ArrayList<>();
    Map<String, List<QuotaNeed>> others = new HashMap<>();
    for (QuotaNeed need : ask.getNeeds()) {
      CreditNeed wanted = new CreditNeed(need.getTeam(), need.getCosts(), need.getAhead());
      Optional<LentCredit> lent = lend(wanted, step, now);
      lent.ifPresent(
          credit ->
              credits.add(new QuotaCredit(need.getTeam(), credit.amount(), credit.retryMs())));
      if (lent.isEmpty() && !ask.isForwarded()) {
        roster
            .alternative(need.getTeam())
            .ifPresent(
                member ->
                    others.computeIfAbsent(member.address(), key -> new ArrayList<>()).add(need));
      }
    }
    if (!credits.isEmpty()) {
      step.outgoing().add(new Outgoing(ask.getReplyTo(), new QuotaGrant(ask.getNumber(), credits)));
    }
    others.forEach(
        (address, needs) ->
            step.outgoing()
                .add(
                    new Outgoing(
                        address, new QuotaAsk(ask.getNumber(), ask.getReplyTo(), true, needs))));
  }

  /** Lends for a team, if this entry may and knows the quota of the team. */
  private Optional<LentCredit> lend(CreditNeed need, Step step, DualTimestamp now) {
    long nowMs = now.monotonicMs();
    return Optional.ofNullable(quotas.get(need.team()))
        .filter(quota -> roster.mayLend(need.team(), lease, now))
        .map(
            quota -> {
              long sinceMs = Math.min(nowMs, roster.firstSinceMs(need.team(), lease));
              LentCredit lent = lender.lend(quota, need, sinceMs, nowMs);
              long level = lender.level(need.team(), nowMs).orElse(0L);
              step.loans().add(new Loan(need.team(), lent.amount(), level));
              return lent;
            });
  }

  private void takeOver(QuotaHandover handover, QuotaLevel level, Step step, DualTimestamp now) {
    String team = level.getTeam();
    Optional<TeamQuota> quota = Optional.ofNullable(quotas.get(team));
    boolean accepted =
        quota.isPresent()
            && lease.holds(now)
            // An entry that has left must not lend again.
            && members.stream().anyMatch(member -> member.vm().equals(self.vm()))
            && roster.receive(team, handover.getVm(), handover.getStartMs());
    if (accepted) {
      lender.adopt(team, quota.orElseThrow(), level.getAmount(), now.monotonicMs());
    }
    step.takeovers().add(new Takeover(team, handover.getVm(), level.getAmount(), accepted));
  }
}
