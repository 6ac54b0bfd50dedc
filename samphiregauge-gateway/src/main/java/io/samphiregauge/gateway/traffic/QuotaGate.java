package io.samphiregauge.gateway.traffic;

import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.quota.CreditExchange.Received;
import io.samphiregauge.core.quota.QuotaBorrower;
import io.samphiregauge.core.quota.QuotaCharge;
import io.samphiregauge.core.quota.QuotaDecision;
import io.samphiregauge.core.quota.QuotaDecision.Admitted;
import io.samphiregauge.core.quota.QuotaDecision.Reason;
import io.samphiregauge.core.quota.QuotaDecision.Refused;
import io.samphiregauge.core.quota.QuotaState;
import io.samphiregauge.core.quota.QuotaTolerance;
import io.samphiregauge.core.site.SiteConfig;
import io.samphiregauge.core.site.Team;
import io.samphiregauge.core.site.TeamQuota;
import io.samphiregauge.gateway.GroupMember;
import io.samphiregauge.net.PeerTransport;
import io.samphiregauge.schema.PeerMessage;
import io.samphiregauge.schema.gateway.EntrySettings;
import java.util.Map;
import java.util.Optional;

/**
 * Admits the requests of teams with a quota as far as this entry has credit, and refuses the others
 * with the time to return. Confined to one event loop.
 *
 * <p>A request whose entry has no credit waits for the answer of the lender, which takes a round
 * trip. Requests of teams without a quota pass at once and cause no messages.
 */
final class QuotaGate {
  private static final int TOO_MANY_REQUESTS = 429;
  private static final long MS_PER_S = 1_000;

  /** Half of the time between two joins of the group. */
  private static final long REFRESH_MS = 500;

  /** Window without settings; then no more than what accrues in 0.1 s is lent ahead. */
  private static final int DEFAULT_WINDOW_S = 10;

  /** Refused callers return spread over this part of the time, so that they do not collide. */
  private static final double JITTER = 0.25;

  private final EventLoopContext context;
  private final QuotaTolerance tolerance;
  private final QuotaBorrower<QuotaWait> borrower;
  private final QuotaMetrics metrics;
  private Optional<QuotaExchange> exchange = Optional.empty();
  private Optional<SiteConfig> lastConfig = Optional.empty();
  private boolean flushScheduled;
  private boolean sweepScheduled;

  QuotaGate(EventLoopContext context, EntrySettings settings) {
    this.context = context;
    this.tolerance =
        new QuotaTolerance(
            settings.getQuotaWindowS().orElse(DEFAULT_WINDOW_S) * MS_PER_S,
            settings.getQuotaOverage().orElse(0.0),
            settings.getQuotaSlack().orElse(0L));
    // Larger than the numbers of earlier processes, whose grants may still arrive.
    this.borrower = new QuotaBorrower<>(tolerance, System.currentTimeMillis() * MS_PER_S);
    this.metrics = new QuotaMetrics(context.metrics());
  }

  /**
   * Connects the gate to the other entries.
   *
   * @param self this entry
   * @param transport sends messages to other entries
   */
  void connect(GroupMember self, PeerTransport transport) {
    exchange =
        Optional.of(
            new QuotaExchange(context, self, tolerance, transport::send, this::onCredit, metrics));
    refresh();
  }

  /** Notices changes of the group also while no request needs credit, to pass teams on in time. */
  private void refresh() {
    context.schedule(REFRESH_MS, this::refresh);
    if (context.view().config().filter(config -> !config.quotas().isEmpty()).isPresent()) {
      exchange.ifPresent(connected -> connected.refresh(DualTimestamp.now()));
    }
  }

  /**
   * Decides on a request, now or after a short wait.
   *
   * @param wait the request, and what to do with it
   */
  void submit(QuotaWait wait) {
    Optional<Team> team = wait.request().team();
    Optional<TeamQuota> quota = team.flatMap(Team::quota);
    if (quota.isEmpty()) {
      wait.onAdmitted().accept(Optional.empty());
      return;
    }
    DualTimestamp now = DualTimestamp.now();
    dropUnlimitedTeams();
    String name = team.orElseThrow().name();
    TeamQuota limit = quota.orElseThrow();
    long cost = limit.cost(wait.request().meta().prompt());
    metrics.recordDemand(name, cost);
    borrower.submit(wait, name, limit, cost, now).ifPresent(this::apply);
    scheduleFlush();
  }

  /** Ends the wait of a request; nothing of it is called any more. */
  void cancel(QuotaWait wait) {
    borrower.cancel(wait);
  }

  /** Gives back what a request was charged that no server has run and none will. */
  void refund(QuotaCharge charge, DualTimestamp now) {
    borrower.refund(charge, now);
    metrics.recordRefund(charge);
  }

  /** Handles a message about quotas from another entry. */
  void onMessage(PeerMessage message) {
    exchange.ifPresent(connected -> connected.onMessage(message, DualTimestamp.now()));
  }

  private void onCredit(Received received) {
    borrower
        .onGrant(received.number(), received.team(), received.credit(), DualTimestamp.now())
        .forEach(this::apply);
  }

  private void dropUnlimitedTeams() {
    Optional<SiteConfig> config = context.view().config();
    if (!config.equals(lastConfig)) {
      lastConfig = config;
      Map<String, TeamQuota> quotas = config.map(SiteConfig::quotas).orElse(Map.of());
      borrower.retain(quotas::containsKey);
      metrics.setTeams(quotas.keySet());
    }
  }

  /** Asks for the requests of one pass of the event loop together. */
  private void scheduleFlush() {
    if (!flushScheduled && borrower.hasNeeds()) {
      flushScheduled = true;
      context.execute(this::flush);
    }
  }

  private void flush() {
    flushScheduled = false;
    QuotaBorrower.Ask ask = borrower.takeAsk(DualTimestamp.now());
    if (!ask.needs().isEmpty()) {
      exchange.ifPresent(connected -> connected.ask(ask, DualTimestamp.now()));
    }
    if (!sweepScheduled && borrower.hasWaiting()) {
      sweepScheduled = true;
      context.schedule(QuotaBorrower.ASK_TIMEOUT_MS, this::sweep);
    }
  }

  private void sweep() {
    sweepScheduled = false;
    borrower.sweep(DualTimestamp.now()).forEach(this::apply);
    flush();
  }

  private void apply(QuotaDecision<QuotaWait> decision) {
    QuotaWait wait = decision.request();
    String team = wait.request().team().map(Team::name).orElse("-");
    if (decision.outcome() instanceof Admitted admitted) {
      metrics.recordAdmitted(admitted);
      wait.onAdmitted().accept(Optional.of(admitted.charge()));
    } else if (decision.outcome() instanceof Refused refused) {
      metrics.recordRefused(team);
      long retryMs = jitter(refused.retryMs());
      logRefused(wait.request(), team, refused, retryMs);
      wait.onRefused().accept(toError(refused.reason(), retryMs));
    }
  }

  private long jitter(long retryMs) {
    double part = (context.random().nextLong() >>> 11) * 0x1.0p-53;
    return Math.round(retryMs * (1 + JITTER * part));
  }

  private static ErrorResponse toError(Reason reason, long retryMs) {
    return switch (reason) {
      case OVER_QUOTA ->
          new ErrorResponse(
              TOO_MANY_REQUESTS, "over_quota", "The quota of the team is used up.", retryMs);
      case BEYOND_BURST ->
          new ErrorResponse(
              TOO_MANY_REQUESTS,
              "beyond_quota",
              "The request is larger than the burst of the team and can never pass.",
              0);
      case LENDER_SILENT ->
          ErrorResponse.notRun(
              "quota_unknown", "The quota of the team could not be checked in time.", retryMs);
    };
  }

  private void logRefused(RoutedRequest request, String team, Refused refused, long retryMs) {
    DualTimestamp now = DualTimestamp.now();
    TeamQuota quota = request.team().flatMap(Team::quota).orElseThrow();
    QuotaState state = borrower.state(team, now).orElse(QuotaState.NONE);
    context
        .decisionLog()
        .add(
            "quota_refused",
            request.attemptId(),
            ("team=%s reason=%s cost=%d rate_per_s=%.0f burst=%.0f credit=%d lent=%d"
                    + " lender=%s answer_age_ms=%d waited_ms=%d retry_ms=%d")
                .formatted(
                    team,
                    refused.reason(),
                    quota.cost(request.meta().prompt()),
                    quota.ratePerS(),
                    quota.burst(),
                    state.credit(),
                    state.lent(),
                    exchange.flatMap(connected -> connected.lender(team)).orElse("-"),
                    state.answerAgeMs(),
                    refused.waitedMs(),
                    retryMs));
  }
}
