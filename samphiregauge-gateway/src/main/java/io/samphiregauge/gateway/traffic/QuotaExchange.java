package io.samphiregauge.gateway.traffic;

import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.quota.CreditNeed;
import io.samphiregauge.core.quota.LenderRoster;
import io.samphiregauge.core.quota.LentCredit;
import io.samphiregauge.core.quota.MembershipLease;
import io.samphiregauge.core.quota.QuotaBorrower;
import io.samphiregauge.core.quota.QuotaLender;
import io.samphiregauge.core.quota.QuotaTolerance;
import io.samphiregauge.core.site.SiteConfig;
import io.samphiregauge.core.site.TeamQuota;
import io.samphiregauge.gateway.GatewayView;
import io.samphiregauge.gateway.GroupMember;
import io.samphiregauge.schema.PeerMessage;
import io.samphiregauge.schema.peer.QuotaAsk;
import io.samphiregauge.schema.peer.QuotaCredit;
import io.samphiregauge.schema.peer.QuotaGrant;
import io.samphiregauge.schema.peer.QuotaHandover;
import io.samphiregauge.schema.peer.QuotaLevel;
import io.samphiregauge.schema.peer.QuotaNeed;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;

/**
 * Asks the lenders of quotas for credit, and lends for the teams whose lender this entry is.
 * Confined to one event loop.
 */
final class QuotaExchange {
  private static final Logger LOG = System.getLogger(QuotaExchange.class.getName());

  private final EventLoopContext context;
  private final GroupMember self;
  private final BiConsumer<String, PeerMessage> sender;
  private final CreditListener onCredit;
  private final QuotaMetrics metrics;
  private final LenderRoster roster;
  private final QuotaLender lender;
  private List<GroupMember> lastMembers = List.of();

  /** Receives credit that was lent to this entry. */
  @FunctionalInterface
  interface CreditListener {
    void onCredit(long number, String team, LentCredit credit);
  }

  QuotaExchange(
      EventLoopContext context,
      GroupMember self,
      QuotaTolerance tolerance,
      BiConsumer<String, PeerMessage> sender,
      CreditListener onCredit,
      QuotaMetrics metrics) {
    this.context = context;
    this.self = self;
    this.sender = sender;
    this.onCredit = onCredit;
    this.metrics = metrics;
    this.roster = new LenderRoster(self.vm());
    this.lender = new QuotaLender(tolerance);
  }

  /** Returns the VM of the lender of a team, as far as known. */
  Optional<String> lender(String team) {
    return roster.first(team).map(LenderRoster.Member::vm);
  }

  /** Asks the lenders for credit; what this entry lends itself is delivered at once. */
  void ask(QuotaBorrower.Ask ask, DualTimestamp now) {
    update(now);
    Map<String, List<QuotaNeed>> needsByAddress = new LinkedHashMap<>();
    for (CreditNeed need : ask.needs()) {
      boolean own = roster.mayLend(need.team(), lease(), now);
      Optional<LentCredit> lent = own ? lend(need, now) : Optional.empty();
      if (lent.isPresent()) {
        onCredit.onCredit(ask.number(), need.team(), lent.orElseThrow());
        continue;
      }
      targetOf(need.team())
          .ifPresent(
              member ->
                  needsByAddress
                      .computeIfAbsent(member.address(), address -> new ArrayList<>())
                      .add(new QuotaNeed(need.team(), need.costs(), need.ahead())));
    }
    needsByAddress.forEach(
        (address, needs) ->
            sender.accept(address, new QuotaAsk(ask.number(), self.peerAddress(), false, needs)));
  }

  private Optional<LenderRoster.Member> targetOf(String team) {
    return roster.isFirst(team) ? roster.alternative(team) : roster.first(team);
  }

  /** Handles a message from another entry. */
  void onMessage(PeerMessage message, DualTimestamp now) {
    update(now);
    if (message instanceof QuotaAsk ask) {
      answer(ask, now);
    } else if (message instanceof QuotaGrant grant) {
      grant
          .getCredits()
          .forEach(
              credit ->
                  onCredit.onCredit(
                      grant.getNumber(),
                      credit.getTeam(),
                      new LentCredit(credit.getAmount(), credit.getRetryMs())));
    } else if (message instanceof QuotaHandover handover) {
      adopt(handover, now);
    }
  }

  private void answer(QuotaAsk ask, DualTimestamp now) {
    List<QuotaCredit> credits = new ArrayList<>();
    Map<String, List<QuotaNeed>> others = new HashMap<>();
    for (QuotaNeed need : ask.getNeeds()) {
      Optional<LentCredit> lent =
          roster.mayLend(need.getTeam(), lease(), now)
              ? lend(new CreditNeed(need.getTeam(), need.getCosts(), need.getAhead()), now)
              : Optional.empty();
      if (lent.isPresent()) {
        LentCredit credit = lent.orElseThrow();
        credits.add(new QuotaCredit(need.getTeam(), credit.amount(), credit.retryMs()));
      } else if (!ask.isForwarded()) {
        roster
            .alternative(need.getTeam())
            .ifPresent(
                member ->
                    others
                        .computeIfAbsent(member.address(), address -> new ArrayList<>())
                        .add(need));
      }
    }
    if (!credits.isEmpty()) {
      sender.accept(ask.getReplyTo(), new QuotaGrant(ask.getNumber(), credits));
    }
    others.forEach(
        (address, needs) ->
            sender.accept(address, new QuotaAsk(ask.getNumber(), ask.getReplyTo(), true, needs)));
  }

  /** Lends for a team; empty if the configuration that this entry knows has no quota for it. */
  private Optional<LentCredit> lend(CreditNeed need, DualTimestamp now) {
    long nowMs = now.monotonicMs();
    return quota(need.team())
        .map(
            quota -> {
              long sinceMs = roster.firstSinceMs(need.team(), lease());
              LentCredit lent = lender.lend(quota, need, Math.min(nowMs, sinceMs), nowMs);
              long level = lender.level(need.team(), nowMs).orElse(0L);
              metrics.recordLent(need.team(), lent.amount(), level);
              return lent;
            });
  }

  private void adopt(QuotaHandover handover, DualTimestamp now) {
    for (QuotaLevel level : handover.getLevels()) {
      Optional<TeamQuota> quota = quota(level.getTeam());
      boolean accepted =
          quota.isPresent()
              && lease().holds(now)
              && roster.receive(level.getTeam(), handover.getVm(), handover.getStartMs());
      if (accepted) {
        lender.adopt(level.getTeam(), quota.orElseThrow(), level.getAmount(), now.monotonicMs());
      }
      LOG.log(
          Level.INFO,
          "event=quota_lender_changed team={0} from={1} to={2} level={3} accepted={4}",
          level.getTeam(),
          handover.getVm(),
          self.vm(),
          Long.toString(level.getAmount()),
          accepted);
    }
  }

  /** Passes teams on to their new lender after a change of the members. */
  private void update(DualTimestamp now) {
    GatewayView view = context.view();
    long nowMs = now.monotonicMs();
    if (roster.checkLease(view.lease(), now)) {
      lender.remove(team -> true, nowMs);
    }
    if (view.members() == lastMembers) {
      return;
    }
    lastMembers = view.members();
    roster.setMembers(newestOfEachVm(lastMembers), nowMs);
    Map<String, TeamQuota> quotas = quotas();
    Map<String, Long> levels = lender.remove(team -> !roster.isFirst(team), nowMs);
    Map<LenderRoster.Member, List<QuotaLevel>> handovers = new HashMap<>();
    levels.forEach(
        (team, level) -> {
          roster.release(team);
          roster
              .first(team)
              .filter(member -> quotas.containsKey(team))
              .ifPresent(
                  member ->
                      handovers
                          .computeIfAbsent(member, key -> new ArrayList<>())
                          .add(new QuotaLevel(team, level)));
        });
    handovers.forEach(
        (member, teams) ->
            sender.accept(member.address(), new QuotaHandover(self.vm(), self.startMs(), teams)));
  }

  private static List<LenderRoster.Member> newestOfEachVm(List<GroupMember> members) {
    Map<String, GroupMember> newest = new LinkedHashMap<>();
    members.forEach(
        member -> newest.merge(member.vm(), member, (a, b) -> a.startMs() >= b.startMs() ? a : b));
    return newest.values().stream()
        .map(member -> new LenderRoster.Member(member.vm(), member.startMs(), member.peerAddress()))
        .toList();
  }

  private Optional<TeamQuota> quota(String team) {
    return Optional.ofNullable(quotas().get(team));
  }

  private Map<String, TeamQuota> quotas() {
    return context.view().config().map(SiteConfig::quotas).orElse(Map.of());
  }

  private MembershipLease lease() {
    return context.view().lease();
  }
}
