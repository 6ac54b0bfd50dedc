package io.samphiregauge.bench;

import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.quota.CreditExchange;
import io.samphiregauge.core.quota.LenderRoster.Member;
import io.samphiregauge.core.quota.MembershipLease;
import io.samphiregauge.core.quota.QuotaBorrower;
import io.samphiregauge.core.quota.QuotaTolerance;
import io.samphiregauge.core.site.QuotaUnit;
import io.samphiregauge.core.site.TeamQuota;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures the quota's part of a request: the decision, and the loan where credit is missing. */
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
@State(Scope.Benchmark)
public class QuotaBenchmark {
  private static final long COST = 400;
  private static final QuotaTolerance TOLERANCE = new QuotaTolerance(8_000, 0.1, 190_000);
  private static final TeamQuota QUOTA =
      new TeamQuota(QuotaUnit.TOKENS, 400_000_000.0, 400_000_000.0, 200);

  /** Number of teams with a quota. */
  @Param({"16", "1800"})
  public int teams;

  private final Member self = new Member("vm", 1, "vm");
  private final DualTimestamp startedAt = DualTimestamp.now().minusMs(10_000);
  private final Map<String, TeamQuota> quotas = new HashMap<>();
  private String[] names;
  private QuotaBorrower<Integer> borrower;
  private CreditExchange exchange;
  private int requests;

  /** Creates an entry that lends to itself. */
  @Setup
  public void create() {
    borrower = new QuotaBorrower<>(TOLERANCE, 0);
    exchange = new CreditExchange(self, TOLERANCE);
    names = new String[teams];
    for (int i = 0; i < teams; i++) {
      names[i] = "team-" + i;
      quotas.put(names[i], QUOTA);
    }
  }

  /** Decides on one request; where it has to wait, asks and lends at once. */
  @Benchmark
  public int decide() {
    DualTimestamp now = DualTimestamp.now();
    requests++;
    int decided =
        borrower.submit(requests, names[requests % teams], QUOTA, COST, now).isPresent() ? 1 : 0;
    if (borrower.hasNeeds()) {
      MembershipLease lease = new MembershipLease(now, startedAt, true, 2_800);
      exchange.update(List.of(self), lease, quotas, now);
      for (CreditExchange.Received credit : exchange.ask(borrower.takeAsk(now), now).received()) {
        decided += borrower.onGrant(credit.number(), credit.team(), credit.credit(), now).size();
      }
    }
    return decided;
  }
}
