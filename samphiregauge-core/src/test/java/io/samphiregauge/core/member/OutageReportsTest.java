package io.samphiregauge.core.member;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.RandomSource;
import io.samphiregauge.core.Step;
import io.samphiregauge.core.member.OutageReports.LocalView;
import io.samphiregauge.schema.peer.Member;
import io.samphiregauge.schema.peer.MemberState;
import io.samphiregauge.schema.peer.OutageQuery;
import io.samphiregauge.schema.peer.OutageReport;
import io.samphiregauge.schema.record.Incarnation;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Guards against entries that serve with a stale state, or stop serving during a log outage. */
class OutageReportsTest {
  private static final int MEMBERS = 9;
  private final SplittableRandom numbers = new SplittableRandom(1);
  private final RandomSource random = numbers::nextLong;
  private final List<Incarnation> processes = new ArrayList<>();
  private final List<KnownMember> known = new ArrayList<>();
  private final List<OutageReports> states = new ArrayList<>();

  OutageReportsTest() {
    for (int i = 0; i < MEMBERS; i++) {
      Incarnation process = new Incarnation("vm" + i, 1L, 1L);
      processes.add(process);
      states.add(OutageReports.of("vm" + i));
      Member member =
          new Member(process, "luzon", "a", "", Integer.toString(i), MemberState.ALIVE, 0, 0, 0);
      known.add(new KnownMember(member, 0, OptionalLong.empty()));
    }
  }

  private static DualTimestamp at(long monotonicMs) {
    return new DualTimestamp(monotonicMs, 1_000_000 + monotonicMs);
  }

  private LocalView view(long offset, long contactMs) {
    return new LocalView(offset, processes, Optional.of(at(contactMs)));
  }

  /** Runs the first members, which query only each other, in steps of 50 ms. */
  private void run(long fromMs, long toMs, int reachable, LocalView view) {
    for (long nowMs = fromMs; nowMs <= toMs; nowMs += 50) {
      for (int i = 0; i < reachable; i++) {
        Step<OutageReports, MemberAction> step =
            states.get(i).tick(view, known.subList(0, reachable), at(nowMs), random);
        states.set(i, step.state());
        for (MemberAction action : step.actions()) {
          MemberAction.Send send = (MemberAction.Send) action;
          int to = Integer.parseInt(send.peerAddress());
          OutageReport report =
              states
                  .get(to)
                  .respond((OutageQuery) send.message(), processes.get(to), view, at(nowMs));
          states.set(i, states.get(i).withReport(report, view));
        }
      }
    }
  }

  @Test
  void detectsAMajorityWithoutLogContactWithinThreeSeconds() {
    LocalView outage = view(5, 0);
    run(2_050, 5_050, 5, outage);
    assertThat(states.get(0).majorityOutageAt(outage, at(5_050))).isPresent();
  }

  @Test
  void aMinorityWithoutLogContactIsNoOutage() {
    LocalView outage = view(5, 0);
    run(2_050, 12_000, 4, outage);
    assertThat(states.get(0).majorityOutageAt(outage, at(12_000))).isEmpty();
  }

  @Test
  void aMajorityExpiresWithItsReports() {
    LocalView outage = view(5, 0);
    run(2_050, 5_050, MEMBERS, outage);
    assertThat(
            states.get(0).majorityOutageAt(outage, at(5_050 + OutageReports.REPORT_MAX_AGE_MS + 1)))
        .isEmpty();
  }

  /** Guards against reports that count as recent because the monotonic clock stood still. */
  @Test
  void aMajorityExpiresWhileTheVmIsSuspended() {
    LocalView outage = view(5, 0);
    run(2_050, 5_050, MEMBERS, outage);
    DualTimestamp resumedAt = new DualTimestamp(5_060, at(5_060).wallMs() + 60_000);
    assertThat(states.get(0).majorityOutageAt(outage, at(5_060))).isPresent();
    assertThat(states.get(0).majorityOutageAt(outage, resumedAt)).isEmpty();
  }

  @Test
  void aMemberWithLogContactReportsNothingAndSendsNoQuery() {
    LocalView outage = view(5, 0);
    run(2_050, 5_050, MEMBERS, outage);
    LocalView recovered = view(5, 5_000);
    OutageReport report =
        states.get(0).respond(new OutageQuery(1, 5), processes.get(0), recovered, at(5_050));
    assertThat(report.getAges()).containsOnly(OutageReports.NO_REPORT);
    Step<OutageReports, MemberAction> step =
        states.get(0).tick(recovered, known, at(5_050), random);
    assertThat(step.actions()).isEmpty();
    assertThat(step.state().reportedAtByVm()).isEmpty();
  }

  @Test
  void aReportAgesFromTheTimeOfItsQuery() {
    LocalView outage = view(5, 0);
    Step<OutageReports, MemberAction> step = states.get(0).tick(outage, known, at(3_000), random);
    OutageQuery query = (OutageQuery) ((MemberAction.Send) step.actions().get(0)).message();
    OutageReport report = states.get(1).respond(query, processes.get(1), outage, at(3_001));
    OutageReports late = step.state().withReport(report, outage);
    assertThat(late.reportedAtByVm()).containsEntry("vm1", at(3_000));
    assertThat(late.withReport(report, outage)).isEqualTo(late);
  }

  @Test
  void aReportForAnotherProcessListIsIgnored() {
    LocalView outage = view(5, 0);
    Step<OutageReports, MemberAction> step = states.get(0).tick(outage, known, at(3_000), random);
    OutageQuery query = (OutageQuery) ((MemberAction.Send) step.actions().get(0)).message();
    LocalView ahead = view(6, 0);
    OutageReport report = states.get(1).respond(query, processes.get(1), ahead, at(3_001));
    assertThat(step.state().withReport(report, outage).reportedAtByVm()).containsOnlyKeys("vm0");
  }
}
