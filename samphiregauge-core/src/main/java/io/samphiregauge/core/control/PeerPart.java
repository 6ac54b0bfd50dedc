package io.samphiregauge.core.control;

import io.samphiregauge.core.Step;
import io.samphiregauge.core.log.FoldedState;
import io.samphiregauge.core.log.Freshness;
import io.samphiregauge.core.member.KnownMember;
import io.samphiregauge.core.member.MemberAction;
import io.samphiregauge.core.member.MemberEvent;
import io.samphiregauge.core.member.OutageReports;
import io.samphiregauge.core.usage.UsageEvent;
import io.samphiregauge.core.usage.UsageStore;
import io.samphiregauge.schema.PeerMessage;
import io.samphiregauge.schema.peer.OutageQuery;
import io.samphiregauge.schema.peer.OutageReport;
import io.samphiregauge.schema.peer.RecordsReply;
import io.samphiregauge.schema.peer.RecordsRequest;
import io.samphiregauge.schema.peer.UsageAnswer;
import io.samphiregauge.schema.peer.UsageCopy;
import io.samphiregauge.schema.peer.UsageQuery;
import io.samphiregauge.schema.record.ProcessState;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;

/** Talks with other entries: records, reports of an outage, usage and membership. */
final class PeerPart {
  private PeerPart() {}

  static void received(Work work, String from, PeerMessage message) {
    if (message instanceof RecordsRequest request) {
      OptionalLong ageMs = work.freshness.ownContactAgeMs(work.now.ms());
      work.send(from, work.relay.reply(request, work.state(), ageMs));
    } else if (message instanceof RecordsReply reply) {
      LogPart.reply(work, reply);
    } else if (message instanceof OutageQuery query) {
      work.send(from, work.outage.respond(query, work.self(), view(work), work.now.ms()));
    } else if (message instanceof OutageReport report) {
      work.outage = work.outage.withReport(report, view(work));
    } else if (message instanceof UsageCopy copy) {
      work.ledger = work.ledger.mergeCopy(copy);
    } else if (message instanceof UsageQuery query) {
      Step<UsageStore, UsageAnswer> step = work.ledger.respond(query, work.state());
      work.ledger = step.state();
      step.actions().forEach(answer -> work.send(from, answer));
    } else if (message instanceof UsageAnswer answer) {
      work.toReporter(new UsageEvent.QueryResponse(answer));
    } else {
      work.toMembers(new MemberEvent.Received(message));
    }
  }

  /** Hints at members: those that the platform lists, and those that joined through the log. */
  static void hint(Work work, List<String> listed, List<String> leavingVms) {
    Set<String> addresses = new TreeSet<>(listed);
    for (ProcessState process : work.state().processes().values()) {
      if (!process.isEnded()) {
        addresses.add(process.getJoined().getPeerAddress());
      }
    }
    addresses.remove(work.entrant.joined().getPeerAddress());
    work.toMembers(new MemberEvent.Hint(List.copyOf(addresses), leavingVms));
  }

  static OutageReports.LocalView view(Work work) {
    return view(work.state(), work.freshness);
  }

  static OutageReports.LocalView view(FoldedState state, Freshness freshness) {
    return new OutageReports.LocalView(
        state.upToOffset(),
        state.processes().values().stream()
            .filter(process -> !process.isEnded())
            .map(ProcessState::getIncarnation)
            .toList(),
        freshness.ownContactMs());
  }

  /** Without log contact, asks peers for records and for their reports of the outage. */
  static void bridgeOutage(Work work) {
    long nowMs = work.now.ms();
    OutageReports.LocalView view = view(work);
    Step<OutageReports, MemberAction> step =
        work.outage.tick(view, work.members.live(), nowMs, work.random);
    work.outage = step.state();
    step.actions().forEach(work::perform);
    OptionalLong majorityMs = work.outage.majorityOutageMs(view, nowMs);
    if (majorityMs.isPresent() && isLevelWithMembers(work)) {
      work.freshness = work.freshness.withOutage(majorityMs.getAsLong());
    }
    long ageMs = work.freshness.ownContactAgeMs(nowMs).orElse(Long.MAX_VALUE);
    if (ageMs >= Relay.ASK_AFTER_MS && nowMs >= work.relay.nextRequestMs()) {
      askForRecords(work);
    }
  }

  /** A process that lacks records which others have does not count the outage as freshness. */
  private static boolean isLevelWithMembers(Work work) {
    return work.members.live().stream()
        .allMatch(known -> known.member().getAppliedOffset() <= work.state().upToOffset());
  }

  /** Asks the member whose log contact is newest, and now and then any other. */
  private static void askForRecords(Work work) {
    work.relay = work.relay.asked(work.now.ms());
    List<KnownMember> live = new ArrayList<>(work.members.live());
    if (live.isEmpty()) {
      return;
    }
    boolean any = work.random.nextIndex(4) == 0;
    KnownMember target =
        any
            ? live.get(work.random.nextIndex(live.size()))
            : live.stream()
                .max(Comparator.comparingLong(k -> k.logContactMs().orElse(Long.MIN_VALUE)))
                .orElseThrow();
    work.send(
        target.member().getPeerAddress(),
        new RecordsRequest(work.state().upToOffset(), work.relay.number()));
  }

  /** Copies usage to the same member of another failure domain while that one lives. */
  static void copyUsage(Work work) {
    if (work.now.ms() < work.progress.copyMs()) {
      return;
    }
    ControlState.Progress p = work.progress;
    work.progress =
        new ControlState.Progress(
            p.leaving(),
            p.endWritten(),
            p.endSeen(),
            p.releasing(),
            p.tableWritten(),
            work.now.ms() + UsageStore.COPY_INTERVAL_MS,
            p.piecesMs());
    copyPeer(work).ifPresent(peer -> copyUsageTo(work, peer));
  }

  private static void copyUsageTo(Work work, KnownMember peer) {
    Step<UsageStore, UsageCopy> step = work.ledger.copyTo(peer.member().getIncarnation().getVm());
    work.ledger = step.state();
    step.actions().forEach(copy -> work.send(peer.member().getPeerAddress(), copy));
  }

  private static Optional<KnownMember> copyPeer(Work work) {
    String domain = work.entrant.joined().getFailureDomain();
    String vm = work.self().getVm();
    return work.members.live().stream()
        .filter(known -> known.member().getRegion().equals(work.region()))
        .min(
            Comparator.comparing((KnownMember k) -> k.member().getFailureDomain().equals(domain))
                .thenComparingInt(k -> (vm + "/" + k.member().getIncarnation().getVm()).hashCode())
                .thenComparing(k -> k.member().getIncarnation().getVm()));
  }

  /** Time after which the own contact is too old to take part in claims. */
  static boolean hasLogContact(Work work) {
    return work.freshness.ownContactAgeMs(work.now.ms()).orElse(Long.MAX_VALUE)
        <= Freshness.MAX_STALENESS_MS;
  }
}
