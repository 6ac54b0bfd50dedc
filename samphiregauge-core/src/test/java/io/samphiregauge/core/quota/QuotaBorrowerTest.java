package io.samphiregauge.core.quota;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.dispatch.Prompt;
import io.samphiregauge.core.quota.QuotaDecision.Admitted;
import io.samphiregauge.core.quota.QuotaDecision.Reason;
import io.samphiregauge.core.quota.QuotaDecision.Refused;
import io.samphiregauge.core.site.QuotaUnit;
import io.samphiregauge.core.site.TeamQuota;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class QuotaBorrowerTest {
  private static final String TEAM = "t";
  private static final TeamQuota QUOTA = new TeamQuota(QuotaUnit.TOKENS, 1_000, 1_000, 200);
  private static final QuotaTolerance TOLERANCE = new QuotaTolerance(8_000, 0.5, 0);

  private final QuotaBorrower<String> borrower = new QuotaBorrower<>(TOLERANCE, 0);
  private DualTimestamp now = new DualTimestamp(1_000, 1_700_000_000_000L);

  private void advance(long ms) {
    now = now.minusMs(-ms);
  }

  private Optional<QuotaDecision<String>> submit(String request, long cost) {
    return borrower.submit(request, TEAM, QUOTA, cost, now);
  }

  /** Lets a request wait and returns the decisions after a grant. */
  private List<QuotaDecision<String>> borrow(String request, long cost, LentCredit lent) {
    assertThat(submit(request, cost)).isEmpty();
    return borrower.onGrant(borrower.takeAsk(now).number(), TEAM, lent, now);
  }

  private static QuotaCharge chargeOf(QuotaDecision<String> decision) {
    assertThat(decision.outcome()).isInstanceOf(Admitted.class);
    return ((Admitted) decision.outcome()).charge();
  }

  /** Guards against tokens that are lost with a request that no server has run. */
  @Test
  void creditOfARejectedRequestPaysTheNextOne() {
    QuotaCharge charge = chargeOf(borrow("a", 300, new LentCredit(300, 0)).get(0));
    borrower.refund(charge, now);
    assertThat(submit("b", 300)).isPresent();
  }

  /** Guards against credit that outlasts its life by being given back. */
  @Test
  void creditGivenBackKeepsItsEnd() {
    QuotaCharge charge = chargeOf(borrow("a", 300, new LentCredit(300, 0)).get(0));
    advance(TOLERANCE.creditLifeMs(QUOTA) - 1);
    borrower.refund(charge, now);
    advance(1);
    assertThat(submit("b", 300)).isEmpty();
  }

  /** Guards against credit of an entry whose VM was suspended. */
  @Test
  void suspensionEndsCredit() {
    borrow("a", 100, new LentCredit(400, 0));
    now = new DualTimestamp(now.monotonicMs() + 1, now.wallMs() + 5_000);
    assertThat(submit("b", 100)).isEmpty();
  }

  /** Guards against credit from a grant that arrives twice. */
  @Test
  void copyOfAGrantIsIgnored() {
    borrow("a", 100, new LentCredit(100, 0));
    borrower.onGrant(1, TEAM, new LentCredit(100, 0), now);
    assertThat(submit("b", 100)).isEmpty();
  }

  /** Guards against a refusal that does not tell when to return. */
  @Test
  void deniedRequestLearnsWhenToReturn() {
    List<QuotaDecision<String>> decisions = borrow("a", 100, new LentCredit(0, 700));
    assertThat(decisions.get(0).outcome()).isEqualTo(new Refused(Reason.OVER_QUOTA, 700, 0));
  }

  /** Guards against requests that wait on for a lender that has stopped. */
  @Test
  void silentLenderEndsTheWaitAndLeavesASmallPart() {
    borrow("a", 1_000, new LentCredit(1_000, 0));
    double part = TOLERANCE.silenceRatio(QUOTA) * 1_000;
    assertThat(submit("b", (long) part)).isEmpty();
    assertThat(submit("c", (long) part)).isEmpty();
    advance(QuotaBorrower.MAX_WAIT_MS);
    List<QuotaDecision<String>> decisions = borrower.sweep(now);
    assertThat(decisions.get(0).outcome()).isInstanceOf(Admitted.class);
    assertThat(((Refused) decisions.get(1).outcome()).reason()).isEqualTo(Reason.LENDER_SILENT);
    assertThat(borrower.hasWaiting()).isFalse();
  }

  /** Guards against an endless return of requests that can never pass. */
  @Test
  void requestBeyondWhatIsEverLentIsRefusedWithoutATimeToReturn() {
    long largest = (long) TOLERANCE.largestLoan(QUOTA);
    assertThat(submit("a", largest + 1).orElseThrow().outcome())
        .isEqualTo(new Refused(Reason.BEYOND_BURST, 0, 0));
    assertThat(submit("b", largest)).isEmpty();
  }

  /** Guards against a decision for a request whose caller has left. */
  @Test
  void cancelledRequestIsForgotten() {
    submit("a", 100);
    borrower.cancel("a");
    assertThat(borrower.hasWaiting()).isFalse();
    assertThat(borrower.takeAsk(now).needs()).isEmpty();
  }

  /** Guards against a wrong count of requests with and without token counts. */
  @Test
  void costFollowsTheUnit() {
    Optional<Prompt> prompt = Optional.of(new Prompt(1_460, 80, List.of()));
    assertThat(QUOTA.cost(prompt)).isEqualTo(1_540);
    assertThat(QUOTA.cost(Optional.empty())).isEqualTo(200);
    TeamQuota requests = new TeamQuota(QuotaUnit.REQUESTS, 5, 5, 0);
    assertThat(requests.cost(prompt)).isEqualTo(1);
  }
}
