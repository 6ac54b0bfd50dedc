package io.samphiregauge.core.control;

import io.samphiregauge.core.DualTimestamp;
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

/** Exchanges log records, outage reports, usage and membership with other entries. */
final class PeerExchange {
  private PeerExchange() {}

  static void handleMessage(StepContext context, String senderAddress, PeerMessage message) {
    if (message instanceof RecordsRequest request) {
      OptionalLong ageMs = context.freshness.ownContactAgeMs(context.now);
      context.send(senderAddress, context.recordRelay.reply(request, context.state(), ageMs));
    } else if (message instanceof RecordsReply reply) {
      LogReadHandler.handleReply(context, reply);
    } else if (message instanceof OutageQuery query) {
      context.send(
          senderAddress,
          context.outageReports.respond(query, context.self(), outageView(context), context.now));
    } else if (message instanceof OutageReport report) {
      context.outageReports = context.outageReports.withReport(report, outageView(context));
    } else if (message instanceof UsageCopy copy) {
      context.usageStore = context.usageStore.mergeCopy(copy);
    } else if (message instanceof UsageQuery query) {
      Step<UsageStore, UsageAnswer> step = context.usageStore.respond(query, context.state());
      context.usageStore = step.state();
      step.actions().forEach(answer -> context.send(senderAddress, answer));
    } else if (message instanceof UsageAnswer answer) {
      context.updateUsageReporter(new UsageEvent.QueryResponse(answer));
    } else {
      context.updateMembership(new MemberEvent.Received(message));
    }
  }

  /**
   * Passes to the membership the peer addresses of the entries that the platform or the log lists,
   * and the VMs that are about to be removed.
   */
  static void addMemberHints(StepContext context, List<String> listed, List<String> leavingVms) {
    Set<String> addresses = new TreeSet<>(listed);
    for (ProcessState process : context.state().processes().values()) {
      if (!process.isEnded()) {
        addresses.add(process.getJoined().getPeerAddress());
      }
    }
    addresses.remove(context.config.joined().getPeerAddress());
    context.updateMembership(new MemberEvent.Hint(List.copyOf(addresses), leavingVms));
  }

  static OutageReports.LocalView outageView(StepContext context) {
    return outageView(context.state(), context.freshness);
  }

  static OutageReports.LocalView outageView(FoldedState state, Freshness freshness) {
    return new OutageReports.LocalView(
        state.upToOffset(),
        state.processes().values().stream()
            .filter(process -> !process.isEnded())
            .map(ProcessState::getIncarnation)
            .toList(),
        freshness.ownContactAt());
  }

  /**
   * Requests records and outage reports from peers while this process has no recent log contact.
   * Records a majority of outage reports as contact if this process is up to date.
   */
  static void handleLogOutage(StepContext context) {
    long nowMs = context.now.monotonicMs();
    OutageReports.LocalView view = outageView(context);
    Step<OutageReports, MemberAction> step =
        context.outageReports.tick(view, context.membership.live(), context.now, context.random);
    context.outageReports = step.state();
    step.actions().forEach(context::translate);
    Optional<DualTimestamp> outageAt = context.outageReports.majorityOutageAt(view, context.now);
    if (outageAt.isPresent() && isUpToDateWithMembers(context)) {
      context.freshness = context.freshness.withOutage(outageAt.get());
    }
    long ageMs = context.freshness.ownContactAgeMs(context.now).orElse(Long.MAX_VALUE);
    if (ageMs >= RecordRelay.REQUEST_AFTER_MS && nowMs >= context.recordRelay.nextRequestMs()) {
      requestRecords(context);
    }
  }

  /**
   * Returns whether this process has applied all records that any live member has applied. Only
   * then do outage reports count as contact.
   */
  private static boolean isUpToDateWithMembers(StepContext context) {
    return context.membership.live().stream()
        .allMatch(known -> known.member().getAppliedOffset() <= context.state().upToOffset());
  }

  /**
   * Requests records from the member with the latest log contact, or, one time in four, from a
   * random member.
   */
  private static void requestRecords(StepContext context) {
    context.recordRelay = context.recordRelay.withRequest(context.now);
    List<KnownMember> live = new ArrayList<>(context.membership.live());
    if (live.isEmpty()) {
      return;
    }
    boolean pickAny = context.random.nextIndex(4) == 0;
    KnownMember target =
        pickAny
            ? live.get(context.random.nextIndex(live.size()))
            : live.stream()
                .max(Comparator.comparingLong(known -> known.logContactMs().orElse(Long.MIN_VALUE)))
                .orElseThrow();
    context.send(
        target.member().getPeerAddress(),
        new RecordsRequest(context.state().upToOffset(), context.recordRelay.lastRequestNumber()));
  }

  /**
   * Copies usage periodically to one live member of the region, in another failure domain if there
   * is one. The same live members always yield the same target.
   */
  static void copyUsage(StepContext context) {
    if (context.now.monotonicMs() < context.taskState.nextUsageCopyMs()) {
      return;
    }
    ControlState.TaskState previous = context.taskState;
    context.taskState =
        new ControlState.TaskState(
            previous.shuttingDown(),
            previous.endSubmitted(),
            previous.endRead(),
            previous.releasePending(),
            previous.tablePending(),
            context.now.monotonicMs() + UsageStore.COPY_INTERVAL_MS,
            previous.nextPieceCheckMs());
    usageCopyTarget(context).ifPresent(peer -> copyUsageTo(context, peer));
  }

  private static void copyUsageTo(StepContext context, KnownMember peer) {
    Step<UsageStore, UsageCopy> step =
        context.usageStore.copyTo(peer.member().getIncarnation().getVm());
    context.usageStore = step.state();
    step.actions().forEach(copy -> context.send(peer.member().getPeerAddress(), copy));
  }

  private static Optional<KnownMember> usageCopyTarget(StepContext context) {
    String domain = context.config.joined().getFailureDomain();
    String vm = context.self().getVm();
    return context.membership.live().stream()
        .filter(known -> known.member().getRegion().equals(context.region()))
        .min(
            Comparator.comparing(
                    (KnownMember known) -> known.member().getFailureDomain().equals(domain))
                .thenComparingInt(
                    known -> (vm + "/" + known.member().getIncarnation().getVm()).hashCode())
                .thenComparing(known -> known.member().getIncarnation().getVm()));
  }

  /** Returns whether the log contact of this process is recent enough to claim leases. */
  static boolean hasRecentLogContact(StepContext context) {
    return context.freshness.ownContactAgeMs(context.now).orElse(Long.MAX_VALUE)
        <= Freshness.MAX_STALENESS_MS;
  }
}
