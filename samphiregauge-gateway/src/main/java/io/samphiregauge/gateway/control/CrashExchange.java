package io.samphiregauge.gateway.control;

import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.RandomSource;
import io.samphiregauge.core.RendezvousHash;
import io.samphiregauge.core.suspect.AttributionChange;
import io.samphiregauge.core.suspect.CrashAttribution;
import io.samphiregauge.core.suspect.CrashSuspects;
import io.samphiregauge.core.suspect.RequestTraits;
import io.samphiregauge.gateway.GroupMember;
import io.samphiregauge.gateway.port.SharedStore;
import io.samphiregauge.gateway.port.StoreRecord;
import io.samphiregauge.gateway.port.Topic;
import io.samphiregauge.net.Codec;
import io.samphiregauge.schema.PeerMessage;
import io.samphiregauge.schema.gateway.CrashRecord;
import io.samphiregauge.schema.peer.CrashQuery;
import io.samphiregauge.schema.peer.CrashReport;
import io.samphiregauge.schema.peer.RecentCrash;
import io.samphiregauge.schema.peer.TraitBlock;
import io.samphiregauge.schema.peer.TraitCompletion;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

/**
 * Tells the other entries which requests were lost in crashes of backend servers and which
 * completed, and decides with their reports which requests to refuse. Runs on the control thread.
 *
 * <p>Reports go directly to all members, since the store may be away; the store serves members that
 * a report did not reach.
 */
final class CrashExchange {
  private static final Logger LOG = System.getLogger(CrashExchange.class.getName());

  /** Time for which events are collected before crashes are counted and reported. */
  private static final long UPDATE_DELAY_MS = 20;

  /** Time between two decisions while crashes go on that are not explained yet. */
  private static final long UNDECIDED_PERIOD_MS = 100;

  /** A report is repeated once, because the transport drops messages while a connection fails. */
  private static final long REPEAT_DELAY_MS = 1_000;

  /**
   * Bound of the random delay of reports that many entries could send, such as completions of
   * common prompt parts. The first report stops the others.
   */
  private static final int MAX_REPORT_DELAY_MS = 150;

  /** Time between two queries after the start, until enough members have answered. */
  private static final long QUERY_PERIOD_MS = 200;

  /** Members that a started entry asks for blocks; one of them may have started recently itself. */
  private static final int QUERIED_MEMBERS = 2;

  private final ControlThread control;
  private final SharedStore store;
  private final GroupMember self;
  private final Supplier<List<GroupMember>> members;
  private final RandomSource random;
  private final Runnable onChange;
  private final CrashAttribution attribution = new CrashAttribution(this::onAttributionChange);
  private final List<UnsentCrash> unsent = new ArrayList<>();
  private final Set<String> unannouncedBlocks = new HashSet<>();
  private final Set<String> unreportedTraits = new LinkedHashSet<>();
  private final Set<String> answeredBy = new HashSet<>();
  private BiConsumer<String, PeerMessage> peerSender = (address, message) -> {};
  private CrashSuspects published = CrashSuspects.none();
  private boolean updateScheduled;
  private int queries;

  /** A crash that this entry has detected and not reported yet. */
  private record UnsentCrash(long seenAtMs, CrashRecord crash) {}

  /**
   * Creates an exchange that sends nothing before {@link #start}.
   *
   * @param members provides the current members of the group
   * @param random delays reports of completions
   * @param onChange runs when the suspects have changed
   */
  CrashExchange(
      ControlThread control,
      SharedStore store,
      GroupMember self,
      Supplier<List<GroupMember>> members,
      RandomSource random,
      Runnable onChange) {
    this.control = control;
    this.store = store;
    this.self = self;
    this.members = members;
    this.random = random;
    this.onChange = onChange;
  }

  /**
   * Starts to ask other members for the blocks that they know.
   *
   * @param sender sends a message to the peer address of another entry
   */
  void start(BiConsumer<String, PeerMessage> sender) {
    peerSender = sender;
    queryMember();
  }

  private void queryMember() {
    List<GroupMember> unasked = new ArrayList<>(queryableMembers());
    unasked.removeIf(member -> answeredBy.contains(member.peerAddress()));
    if (answeredBy.size() >= QUERIED_MEMBERS || (unasked.isEmpty() && !answeredBy.isEmpty())) {
      return;
    }
    control.schedule(QUERY_PERIOD_MS, this::queryMember);
    // The number changes the selection, in case that the selected member does not answer.
    RendezvousHash.select(self.vm() + "/" + queries, unasked, GroupMember::vm)
        .ifPresent(
            member -> {
              queries++;
              peerSender.accept(member.peerAddress(), new CrashQuery(self.startMs()));
            });
  }

  /**
   * Returns the members that may know more than this entry: those that started before it, if there
   * are any. The group still lists the process before it on this VM for some seconds.
   */
  private List<GroupMember> queryableMembers() {
    List<GroupMember> others =
        otherMembers().stream().filter(member -> !member.vm().equals(self.vm())).toList();
    List<GroupMember> earlier =
        others.stream().filter(member -> member.startMs() < self.startMs()).toList();
    return earlier.isEmpty() ? others : earlier;
  }

  /** Returns the current suspects. */
  CrashSuspects suspects() {
    return attribution.suspects(this::ownsTrial);
  }

  /** Returns whether this entry runs the trials of a trait; the others refuse its requests. */
  private boolean ownsTrial(String trait) {
    return RendezvousHash.select(trait, members.get(), GroupMember::vm)
        .filter(self::equals)
        .isPresent();
  }

  /** Records a crash that this entry has detected, and reports it to the other entries. */
  void publish(CrashRecord crash) {
    long nowMs = DualTimestamp.monotonicNowMs();
    if (!record(crash, nowMs, nowMs, "own")) {
      return;
    }
    unsent.add(new UnsentCrash(nowMs, crash));
    StoreRecord record = new StoreRecord("", Optional.of(Codec.json().encode(crash)));
    control.onResult(
        store.appender().append(Topic.CRASHES, record, OptionalLong.empty()),
        result ->
            LOG.log(
                Level.INFO,
                "event=crash_published backend={0} ok={1}",
                crash.getBackend(),
                Boolean.toString(result.value().isPresent())));
  }

  /** Records a crash that was read from the store. */
  void recordStored(CrashRecord crash) {
    long nowMs = DualTimestamp.monotonicNowMs();
    record(crash, nowMs, nowMs, "store");
  }

  /** Records that the response to a request of this entry began. */
  void recordCompletion(RequestTraits traits) {
    List<String> concerned = attribution.recordCompletion(traits, DualTimestamp.monotonicNowMs());
    if (!concerned.isEmpty()) {
      reportCompletionsLater(concerned);
      updateLater();
    }
  }

  /** Records that this entry is about to send a request with a blocked trait as a trial. */
  void recordTrialStarted(String trait) {
    LOG.log(Level.INFO, "event=trial_started trait={0}", trait);
    attribution.recordTrialStarted(trait, DualTimestamp.monotonicNowMs());
    updateLater();
  }

  /**
   * Handles a message from another entry.
   *
   * @param from peer address of the sender
   * @param message the message; ignored unless it is about crashes
   */
  void onPeerMessage(String from, PeerMessage message) {
    if (message instanceof CrashQuery) {
      long nowMs = DualTimestamp.monotonicNowMs();
      peerSender.accept(
          from,
          new CrashReport(
              true,
              attribution.crashesToReport(nowMs),
              List.of(),
              attribution.blocksToReport(nowMs)));
    } else if (message instanceof CrashReport report) {
      onReport(from, report);
    }
  }

  private void onReport(String from, CrashReport report) {
    long nowMs = DualTimestamp.monotonicNowMs();
    if (!report.isAnswer()) {
      onBlocksAnnounced(report.getBlocks(), nowMs);
    } else if (answeredBy.add(from)) {
      attribution.recordReportedBlocks(report.getBlocks(), nowMs);
    }
    attribution.recordReportedCompletions(report.getCompletions(), nowMs);
    for (RecentCrash recent : report.getCrashes()) {
      record(recent.getCrash(), nowMs - Math.max(0, recent.getAgeMs()), nowMs, from);
    }
    updateLater();
  }

  /** Tells the other entries which announced blocks the completions of this entry disprove. */
  private void onBlocksAnnounced(List<TraitBlock> blocks, long receivedAtMs) {
    if (blocks.isEmpty()) {
      return;
    }
    blocks.forEach(block -> unannouncedBlocks.remove(block.getTrait()));
    control.schedule(
        random.nextIndex(MAX_REPORT_DELAY_MS),
        () ->
            reportCompletions(
                attribution.completionsDisproving(
                    blocks, receivedAtMs, DualTimestamp.monotonicNowMs())));
  }

  /** Announces a block, so that entries with completions that this one missed can disprove it. */
  private void announceLater(String trait) {
    unannouncedBlocks.add(trait);
    control.schedule(
        random.nextIndex(MAX_REPORT_DELAY_MS),
        () -> {
          List<TraitBlock> blocks =
              attribution.blocksToReport(DualTimestamp.monotonicNowMs()).stream()
                  .filter(block -> unannouncedBlocks.remove(block.getTrait()))
                  .toList();
          if (!blocks.isEmpty()) {
            sendToAll(new CrashReport(false, List.of(), List.of(), blocks));
          }
        });
  }

  private void reportCompletions(List<TraitCompletion> completions) {
    if (!completions.isEmpty()) {
      sendToAll(new CrashReport(false, List.of(), completions, List.of()));
    }
  }

  private boolean record(CrashRecord crash, long seenAtMs, long nowMs, String source) {
    List<RequestTraits> lost =
        crash.getRequests().stream()
            .filter(traits -> !traits.isEmpty())
            .map(RequestTraits::new)
            .toList();
    if (!attribution.recordCrash(crash.getBackend(), lost, seenAtMs, nowMs)) {
      return false;
    }
    Set<String> traits = new LinkedHashSet<>();
    lost.forEach(request -> traits.addAll(request.values()));
    LOG.log(
        Level.INFO,
        "event=crash_recorded backend={0} requests={1} traits={2} source={3}",
        crash.getBackend(),
        Integer.toString(lost.size()),
        String.join(",", traits),
        source);
    reportCompletionsLater(traits);
    updateLater();
    return true;
  }

  /** Reports the completions of traits to all entries, unless another entry does so first. */
  private void reportCompletionsLater(Collection<String> traits) {
    boolean isScheduled = !unreportedTraits.isEmpty();
    unreportedTraits.addAll(traits);
    if (isScheduled) {
      return;
    }
    control.schedule(
        random.nextIndex(MAX_REPORT_DELAY_MS),
        () -> {
          List<TraitCompletion> completions =
              attribution.completionsToReport(unreportedTraits, DualTimestamp.monotonicNowMs());
          unreportedTraits.clear();
          reportCompletions(completions);
        });
  }

  private void updateLater() {
    updateLater(UPDATE_DELAY_MS);
  }

  private void updateLater(long delayMs) {
    if (updateScheduled) {
      return;
    }
    updateScheduled = true;
    control.schedule(
        delayMs,
        () -> {
          updateScheduled = false;
          reportCrashes();
          attribution.update(DualTimestamp.monotonicNowMs());
          CrashSuspects current = suspects();
          if (!current.equals(published)) {
            published = current;
            onChange.run();
          }
          if (attribution.isUndecided()) {
            updateLater(UNDECIDED_PERIOD_MS);
          }
        });
  }

  private void reportCrashes() {
    if (unsent.isEmpty()) {
      return;
    }
    List<UnsentCrash> crashes = List.copyOf(unsent);
    unsent.clear();
    send(crashes);
    control.schedule(REPEAT_DELAY_MS, () -> send(crashes));
  }

  private void send(List<UnsentCrash> crashes) {
    long nowMs = DualTimestamp.monotonicNowMs();
    List<RecentCrash> recent =
        crashes.stream()
            .map(
                unsentCrash -> new RecentCrash(nowMs - unsentCrash.seenAtMs(), unsentCrash.crash()))
            .toList();
    sendToAll(new CrashReport(false, recent, List.of(), List.of()));
  }

  private void sendToAll(PeerMessage message) {
    otherMembers().forEach(member -> peerSender.accept(member.peerAddress(), message));
  }

  private List<GroupMember> otherMembers() {
    return members.get().stream().filter(member -> !member.equals(self)).toList();
  }

  private void onAttributionChange(AttributionChange change) {
    logChange(change);
    if (change instanceof AttributionChange.Blocked blocked && !blocked.byPeer()) {
      announceLater(blocked.trait());
    }
  }

  private static void logChange(AttributionChange change) {
    if (change instanceof AttributionChange.Blocked blocked) {
      LOG.log(
          Level.WARNING,
          "event=trait_blocked trait={0} crashes={1} completions={2} duration_ms={3} by={4}",
          blocked.trait(),
          Integer.toString(blocked.crashes()),
          Long.toString(blocked.completions()),
          Long.toString(blocked.durationMs()),
          source(blocked.byPeer()));
    } else if (change instanceof AttributionChange.Renewed renewed) {
      LOG.log(
          Level.WARNING,
          "event=trait_block_renewed trait={0} backend={1} duration_ms={2}",
          renewed.trait(),
          renewed.server(),
          Long.toString(renewed.durationMs()));
    } else if (change instanceof AttributionChange.Cleared cleared) {
      LOG.log(
          Level.INFO,
          "event=trait_cleared trait={0} source={1}",
          cleared.trait(),
          source(cleared.byPeer()));
    } else if (change instanceof AttributionChange.Expired expired) {
      LOG.log(Level.INFO, "event=trait_cleared trait={0} source=expiry", expired.trait());
    }
  }

  private static String source(boolean byPeer) {
    return byPeer ? "peer" : "own";
  }
}
