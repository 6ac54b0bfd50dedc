package io.samphiregauge.gateway.traffic;

import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.quota.CreditExchange;
import io.samphiregauge.core.quota.CreditExchange.Outgoing;
import io.samphiregauge.core.quota.CreditExchange.Received;
import io.samphiregauge.core.quota.CreditExchange.Step;
import io.samphiregauge.core.quota.LenderRoster.Member;
import io.samphiregauge.core.quota.QuotaBorrower;
import io.samphiregauge.core.quota.QuotaTolerance;
import io.samphiregauge.core.site.SiteConfig;
import io.samphiregauge.gateway.GatewayView;
import io.samphiregauge.gateway.GroupMember;
import io.samphiregauge.schema.PeerMessage;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Carries the messages about credit between this entry and the others. Confined to one event loop.
 */
final class QuotaExchange {
  private static final Logger LOG = System.getLogger(QuotaExchange.class.getName());

  private final EventLoopContext context;
  private final CreditExchange exchange;
  private final BiConsumer<String, PeerMessage> sender;
  private final Consumer<Received> onCredit;
  private final QuotaMetrics metrics;
  private GatewayView lastView = GatewayView.empty();
  private List<Member> members = List.of();

  /**
   * Creates the exchange of an entry.
   *
   * @param context state of the event loop
   * @param self this entry
   * @param tolerance how far quotas may be exceeded
   * @param sender sends a message to a peer address
   * @param onCredit receives the credit that is lent to this entry
   * @param metrics receives what this entry lends
   */
  QuotaExchange(
      EventLoopContext context,
      GroupMember self,
      QuotaTolerance tolerance,
      BiConsumer<String, PeerMessage> sender,
      Consumer<Received> onCredit,
      QuotaMetrics metrics) {
    this.context = context;
    this.exchange = new CreditExchange(toMember(self), tolerance);
    this.sender = sender;
    this.onCredit = onCredit;
    this.metrics = metrics;
  }

  /** Returns the VM of the lender of a team, as far as known. */
  Optional<String> lender(String team) {
    return exchange.lenderOf(team).map(Member::vm);
  }

  /** Asks the lenders for credit; what this entry lends itself is delivered at once. */
  void ask(QuotaBorrower.Ask ask, DualTimestamp now) {
    update(now);
    apply(exchange.ask(ask, now));
  }

  /** Handles a message from another entry. */
  void onMessage(PeerMessage message, DualTimestamp now) {
    update(now);
    apply(exchange.receive(message, now));
  }

  /** Adopts the newest view. */
  void refresh(DualTimestamp now) {
    update(now);
  }

  private void update(DualTimestamp now) {
    GatewayView view = context.view();
    if (!view.members().equals(lastView.members())) {
      members = view.members().stream().map(QuotaExchange::toMember).toList();
    }
    lastView = view;
    exchange
        .update(members, view.lease(), view.config().map(SiteConfig::quotas).orElse(Map.of()), now)
        .forEach(this::send);
  }

  private void apply(Step step) {
    step.outgoing().forEach(this::send);
    step.loans().forEach(metrics::recordLoan);
    step.takeovers()
        .forEach(
            takeover ->
                LOG.log(
                    Level.INFO,
                    "event=quota_taken_over team={0} from={1} level={2} accepted={3}",
                    takeover.team(),
                    takeover.from(),
                    Long.toString(takeover.level()),
                    takeover.accepted()));
    step.received().forEach(onCredit);
  }

  private void send(Outgoing outgoing) {
    sender.accept(outgoing.address(), outgoing.message());
  }

  private static Member toMember(GroupMember member) {
    return new Member(member.vm(), member.startMs(), member.peerAddress());
  }
}
