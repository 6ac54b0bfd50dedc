package io.samphiregauge.core.spill;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiregauge.core.spill.FlowChange.Cause;
import java.util.List;
import org.junit.jupiter.api.Test;

class DomainFlowsTest {
  private static final double CROSSING_MS = 15;
  private final DomainFlows flows = new DomainFlows("a");

  private static DomainLoad load(String domain, double waitMs, double utilization, long ageMs) {
    return new DomainLoad(domain, 16, waitMs, utilization, 0, ageMs, true, true);
  }

  private List<FlowChange> open() {
    return flows.update(
        List.of(load("a", 1_000, 1, 0), load("b", 0, 0.4, 200)), CROSSING_MS, 10_000);
  }

  /** Guards against work that leaves for less than its traffic costs. */
  @Test
  void nothingLeavesForLessThanItCosts() {
    assertThat(
            flows.update(List.of(load("a", 30, 1, 0), load("b", 0, 0.4, 200)), CROSSING_MS, 10_000))
        .isEmpty();
    assertThat(flows.update(List.of(load("a", 300, 1, 0), load("b", 0, 0.4, 200)), 400, 20_000))
        .isEmpty();
    assertThat(flows.share("b")).isZero();
  }

  /** Guards against a step that is larger than what one look at old figures justifies. */
  @Test
  void aStepIsBoundedAndWaitsForTheEffectOfTheLastOne() {
    assertThat(open()).extracting(FlowChange::cause).containsExactly(Cause.PAYS);
    assertThat(flows.share("b")).isPositive().isLessThanOrEqualTo(DomainFlows.MAX_STEP);
    List<DomainLoad> worse = List.of(load("a", 2_000, 1, 0), load("b", 0, 0.4, 200));
    assertThat(flows.update(worse, CROSSING_MS, 10_300)).isEmpty();
    assertThat(flows.update(worse, CROSSING_MS, 10_400)).hasSize(1);
  }

  /** Guards against a stale domain that is sent work by what it was long ago. */
  @Test
  void staleDomainGetsNothing() {
    open();
    List<FlowChange> changes =
        flows.update(
            List.of(load("a", 1_000, 1, 0), load("b", 0, 0.4, DomainFlows.MAX_AGE_MS + 1)),
            CROSSING_MS,
            10_010);
    assertThat(changes).extracting(FlowChange::cause).containsExactly(Cause.STALE);
    assertThat(flows.share("b")).isZero();
  }

  /** Guards against a domain behind a partition that looks idle because nobody reports it. */
  @Test
  void cutDomainGetsNothing() {
    open();
    DomainLoad cut = new DomainLoad("b", 3, 0, 0, 0, 200, false, true);
    assertThat(flows.update(List.of(load("a", 1_000, 1, 0), cut), CROSSING_MS, 10_010))
        .extracting(FlowChange::cause)
        .containsExactly(Cause.CUT);
    assertThat(flows.share("b")).isZero();
  }

  /** Guards against a silent domain that is taken for an idle one. */
  @Test
  void unconfirmedDomainGetsATrial() {
    DomainLoad silent = new DomainLoad("b", 16, 0, 0, 0, 200, true, false);
    for (int i = 0; i < 20; i++) {
      flows.update(
          List.of(load("a", 1_000 + 100 * i, 1, 0), silent), CROSSING_MS, 10_000 + 400 * i);
    }
    assertThat(flows.share("b")).isLessThanOrEqualTo(DomainFlows.TRIAL_SHARE);
  }

  /** Guards against a domain that is sent work while it has no room for its own. */
  @Test
  void fullDomainGetsLess() {
    open();
    List<DomainLoad> full = List.of(load("a", 1_000, 1, 0), load("b", 200, 1, 200));
    assertThat(flows.update(full, CROSSING_MS, 10_400)).isEmpty();
    assertThat(flows.update(full, CROSSING_MS, 13_400))
        .extracting(FlowChange::cause)
        .containsExactly(Cause.OTHER_IS_FULL);
  }

  /** Guards against a slow or lossy link whose delay costs more than the wait that it saves. */
  @Test
  void slowLinkIsNotUsed() {
    DomainLoad behindSlowLink = new DomainLoad("b", 16, 0, 0.4, 500, 200, true, true);
    List<DomainLoad> loads = List.of(load("a", 400, 1, 0), behindSlowLink, load("c", 0, 0.4, 200));
    flows.update(loads, CROSSING_MS, 10_000);
    assertThat(flows.share("b")).isZero();
    assertThat(flows.share("c")).isPositive();
  }
}
