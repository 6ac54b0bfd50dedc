package io.samphiregauge.gateway.traffic;

import io.samphiregauge.core.quota.CreditExchange.Loan;
import io.samphiregauge.core.quota.QuotaCharge;
import io.samphiregauge.core.quota.QuotaDecision.Admitted;
import java.util.Collection;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Counts demand and refusals by team. The first teams by name have counters of their own, all
 * others share one set, so that the metrics stay small. Confined to one event loop.
 */
final class QuotaMetrics {
  private static final int MAX_TEAMS = 64;
  private static final String OTHERS = "others";

  private final GatewayMetrics metrics;
  private Set<String> named = Set.of();

  QuotaMetrics(GatewayMetrics metrics) {
    this.metrics = metrics;
  }

  void setTeams(Collection<String> teams) {
    named = teams.stream().sorted().limit(MAX_TEAMS).collect(Collectors.toUnmodifiableSet());
  }

  void recordDemand(String team, long cost) {
    metrics.add("quota_demand." + label(team), cost);
  }

  void recordAdmitted(Admitted admitted) {
    metrics.add("quota_admitted." + label(admitted.charge().team()), admitted.charge().cost());
    if (admitted.waitedMs() > 0) {
      metrics.recordDurationMs("quota_wait", admitted.waitedMs());
    }
  }

  void recordRefused(String team) {
    metrics.increment("quota_refused." + label(team));
  }

  void recordRefund(QuotaCharge charge) {
    metrics.add("quota_refunded." + label(charge.team()), charge.cost());
  }

  /** Records what this entry, as the lender of a team, has lent and has left. */
  void recordLoan(Loan loan) {
    metrics.add("quota_lent." + label(loan.team()), loan.amount());
    metrics.setGauge("quota_level." + label(loan.team()), loan.level());
  }

  private String label(String team) {
    return named.contains(team) ? team : OTHERS;
  }
}
