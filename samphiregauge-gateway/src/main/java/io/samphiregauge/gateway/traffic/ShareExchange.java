package io.samphiregauge.gateway.traffic;

import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.directory.EntryCapacity;
import io.samphiregauge.core.directory.EntryCondition;
import io.samphiregauge.core.directory.EntryShare;
import io.samphiregauge.core.directory.KnownShares;
import io.samphiregauge.core.directory.RequestDemand;
import io.samphiregauge.gateway.EntryDirectory;
import io.samphiregauge.gateway.GatewayView;
import io.samphiregauge.gateway.GroupMember;
import io.samphiregauge.net.PeerTransport;
import io.samphiregauge.schema.peer.ShareNotice;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.function.LongSupplier;

/**
 * Measures this entry, tells the others while it takes less than its full share of the callers, and
 * answers queries of the directory with what the others have told. Without a known capacity it does
 * nothing of this. Confined to one event loop.
 */
final class ShareExchange {
  private static final Logger LOG = System.getLogger(ShareExchange.class.getName());
  private static final long MEASURE_PERIOD_MS = 250;
  private static final double PERMILLE = 1_000;
  private static final String REQUESTS = "requests";

  /** Fewer requests say little about the average. */
  private static final int MIN_MEASURED_REQUESTS = 20;

  /** Change of the share that is logged. */
  private static final double LOGGED_CHANGE = 0.1;

  private final EventLoopContext context;
  private final GroupMember self;
  private final PeerTransport transport;
  private final EntryLoadMeter meter;
  private final EntryShare ownShare = new EntryShare(DualTimestamp.monotonicNowMs());
  private final KnownShares knownShares = new KnownShares(DualTimestamp.monotonicNowMs());
  private final LongSupplier revocationMs;
  private long measuredBytes;
  private long measuredRequests;
  private RequestDemand demand = RequestDemand.USUAL;
  private List<GroupMember> members = List.of();
  private double share = 1;
  private double toldShare = 1;
  private long toldAtMs;
  private long measuredAtMs = DualTimestamp.monotonicNowMs();

  ShareExchange(
      EventLoopContext context,
      GroupMember self,
      PeerTransport transport,
      EntryLoadMeter meter,
      LongSupplier revocationMs) {
    this.revocationMs = revocationMs;
    this.context = context;
    this.self = self;
    this.transport = transport;
    this.meter = meter;
  }

  /** Starts to measure if the capacity of this entry is known. */
  void start() {
    self.capacity().ifPresent(this::measurePeriodically);
  }

  private void measurePeriodically(EntryCapacity capacity) {
    context.schedule(MEASURE_PERIOD_MS, () -> measurePeriodically(capacity));
    long nowMs = DualTimestamp.monotonicNowMs();
    long periodMs = nowMs - measuredAtMs;
    measuredAtMs = nowMs;
    meter.recordLag(Math.max(0, periodMs - MEASURE_PERIOD_MS));
    EntryLoadMeter.Sample sample = meter.take(capacity, periodMs);
    updateDemand(sample.bytes());
    updateMembers(nowMs);
    share = ownShare.update(new EntryCondition(sample.busy(), sample.lagMs(), staleness()), nowMs);
    if (knownShares.mustTell(share, toldShare, nowMs - toldAtMs, nowMs)) {
      tell(nowMs);
    }
  }

  private void updateDemand(long bytes) {
    measuredBytes += bytes;
    long requests = context.metrics().count(REQUESTS) - measuredRequests;
    if (requests >= MIN_MEASURED_REQUESTS) {
      demand = demand.withMeasuredBytes(requests, measuredBytes);
      measuredRequests += requests;
      measuredBytes = 0;
    }
  }

  /** Returns the age of the configuration, as a part of the age at which keys are refused. */
  private double staleness() {
    GatewayView view = context.view();
    return view.config().isEmpty()
        ? 0
        : (double) DualTimestamp.now().millisSince(view.configAsOf()) / revocationMs.getAsLong();
  }

  private void updateMembers(long nowMs) {
    List<GroupMember> current = context.view().members();
    if (members != current) {
      members = current;
      knownShares.setMembers(members.stream().map(GroupMember::process).toList(), nowMs);
    }
  }

  /** Tells the members that know this message: earlier versions do not tell their capacity. */
  private void tell(long nowMs) {
    if (Math.abs(share - toldShare) >= LOGGED_CHANGE) {
      LOG.log(
          Level.INFO,
          "event=caller_share share={0} link_kbits_per_request={1}",
          Double.toString(Math.round(share * 100) / 100.0),
          Long.toString(Math.round(demand.linkKbits())));
    }
    toldShare = share;
    toldAtMs = nowMs;
    context.metrics().increment("share_notices");
    List<String> addresses =
        members.stream()
            .filter(member -> member.capacity().isPresent() && !member.vm().equals(self.vm()))
            .map(GroupMember::peerAddress)
            .toList();
    transport.send(addresses, new ShareNotice(self.process(), (int) Math.round(share * PERMILLE)));
  }

  void onNotice(ShareNotice notice) {
    knownShares.receive(
        notice.getProcess(), notice.getSharePermille() / PERMILLE, DualTimestamp.monotonicNowMs());
  }

  /** Returns the addresses of the entries to which a caller should connect. */
  List<String> addressesFor(String domain, String caller) {
    long nowMs = DualTimestamp.monotonicNowMs();
    return EntryDirectory.addressesFor(
        context.view().members(),
        domain,
        caller,
        demand,
        member -> member.equals(self) ? share : knownShares.share(member.process(), nowMs));
  }
}
