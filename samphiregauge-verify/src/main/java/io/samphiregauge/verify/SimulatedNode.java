package io.samphiregauge.verify;

import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.Step;
import io.samphiregauge.core.lease.LeaseAction;
import io.samphiregauge.core.lease.LeaseAgent;
import io.samphiregauge.core.lease.LeaseEvent;
import io.samphiregauge.core.log.CheckpointSchedule;
import io.samphiregauge.core.log.FoldedState;
import io.samphiregauge.core.log.Freshness;
import io.samphiregauge.core.log.LogReader;
import io.samphiregauge.core.log.LogWriter;
import io.samphiregauge.core.member.OutageReports;
import io.samphiregauge.schema.RecordBody;
import io.samphiregauge.schema.peer.RecordsReply;
import io.samphiregauge.schema.platform.RecordsPage;
import io.samphiregauge.schema.record.Checkpoint;
import io.samphiregauge.schema.record.Incarnation;
import io.samphiregauge.schema.record.Joined;
import io.samphiregauge.schema.record.LogRecord;
import io.samphiregauge.schema.record.ProcessState;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/** Simulates one process: passes events to the state machines and executes their actions. */
final class SimulatedNode {
  private static final long READ_TIMEOUT_MS = 2_000;
  private static final long PEER_REQUEST_AFTER_MS = 1_500;

  final Incarnation self;
  final SimulatedVm vm;
  final MembershipDriver membership;
  final UsageDriver usage;
  final PieceDriver pieces;
  private final OrderDriver orders;
  final TrafficDriver traffic;
  private final SimulatedDeployment deployment;
  private final InjectionPoints injectionPoints;
  private final Map<String, LeaseAgent> leaseAgents = new LinkedHashMap<>();
  private LogReader reader = LogReader.atStart();
  private LogWriter writer;
  private Freshness freshness = Freshness.none();
  private CheckpointSchedule checkpointSchedule =
      CheckpointSchedule.withRetention(SimulatedLog.RETENTION_RECORDS);
  private Optional<DualTimestamp> pendingReadSentAt = Optional.empty();
  private boolean hasJoined;

  SimulatedNode(SimulatedVm vm, SimulatedDeployment deployment) {
    this.vm = vm;
    this.deployment = deployment;
    this.injectionPoints = deployment.injectionPoints;
    FaultSimulation simulation = deployment.simulation;
    this.self =
        new Incarnation(vm.name, 1_000 + simulation.nowMs(), simulation.random.nextLong() >>> 1);
    this.writer = LogWriter.of(self);
    for (String role : SimulatedDeployment.ROLES) {
      leaseAgents.put(role, LeaseAgent.of(role, self));
    }
    this.pieces = new PieceDriver(this, deployment);
    this.usage = new UsageDriver(this, deployment);
    this.orders = new OrderDriver(this, deployment);
    this.membership = new MembershipDriver(this, deployment);
    this.traffic = new TrafficDriver(this, deployment);
  }

  void start() {
    deployment.simulation.trace(() -> vm.name + " starts as #" + self.getStartMs());
    writer =
        writer.enqueue(
            new Joined(SimulatedDeployment.REGION, vm.domain, vm.httpAddress(), vm.peerAddress()));
    tick();
  }

  void terminate() {
    traffic.terminate();
  }

  FoldedState state() {
    return reader.state();
  }

  long nowMs() {
    return vm.clockMs();
  }

  DualTimestamp now() {
    return vm.now();
  }

  Freshness freshness() {
    return freshness;
  }

  /**
   * Returns whether requests with an API key may run; false once the process has read that its
   * incarnation has ended.
   */
  boolean isFresh() {
    boolean serves = hasJoined && state().isLive(self);
    return serves && injectionPoints.freshnessCheck.isFresh(freshness, now());
  }

  /**
   * Returns whether log contact is recent enough that peers need not be queried about an outage.
   */
  boolean hasRecentLogContact() {
    OptionalLong ageMs = freshness.ownContactAgeMs(now());
    return ageMs.isPresent() && ageMs.getAsLong() <= OutageReports.CONTACT_TIMEOUT_MS;
  }

  /** Returns the fencing token of a role, or empty if this process may not act in it now. */
  OptionalLong token(String role) {
    return injectionPoints.leaseTokenSource.token(leaseAgents.get(role), now());
  }

  void write(RecordBody body) {
    writer = writer.enqueue(body);
    runWriter(new LogWriter.Event.Tick());
  }

  private void tick() {
    if (state().hasEnded(self)) {
      deployment.simulation.trace(() -> vm.name + " has read that its incarnation has ended");
      vm.restart();
      return;
    }
    readLog();
    requestPeerState();
    leaseAgents.replaceAll((role, agent) -> runAgent(agent, new LeaseEvent.Tick()));
    runWriter(new LogWriter.Event.Tick());
    writeCheckpoint();
    membership.tick();
    membership.majorityOutageAt().ifPresent(outageAt -> freshness = freshness.withOutage(outageAt));
    pieces.tick();
    orders.tick();
    usage.tick();
    traffic.tick();
    long nextMs = deployment.simulation.random.between(150, 350);
    deployment.simulation.schedule(nextMs, () -> vm.runInNode(this, this::tick));
  }

  private void readLog() {
    boolean readPending =
        pendingReadSentAt
            .filter(sentAt -> nowMs() - sentAt.monotonicMs() < READ_TIMEOUT_MS)
            .isPresent();
    if (readPending) {
      return;
    }
    DualTimestamp sentAt = now();
    pendingReadSentAt = Optional.of(sentAt);
    if (vm.receivesFromLog()) {
      deployment.log.read(
          reader.nextOffset(), page -> vm.runInNode(this, () -> onPage(page, sentAt)));
    }
  }

  private void onPage(RecordsPage page, DualTimestamp sentAt) {
    if (!vm.receivesFromLog()) {
      return;
    }
    applyReads(injectionPoints.pageReader.read(reader, page));
    if (reader.isCaughtUp(page)) {
      freshness = freshness.withOwnContact(sentAt);
      join();
    }
    if (pendingReadSentAt.equals(Optional.of(sentAt))) {
      pendingReadSentAt = Optional.empty();
      readLog();
    }
  }

  /** Becomes a candidate for the leases once the log shows this process as live. */
  private void join() {
    if (!hasJoined && state().isLive(self)) {
      hasJoined = true;
      long delayMs = deployment.simulation.random.between(0, 500);
      leaseAgents.replaceAll(
          (role, agent) -> runAgent(agent, new LeaseEvent.Candidacy(true, delayMs)));
    }
  }

  private void applyReads(Step<LogReader, LogReader.ReadOutcome> step) {
    reader = step.state();
    step.actions().forEach(this::applyRead);
    deployment.simulation.observe(
        new Observation.FoldProgress(self, state().upToOffset(), state().noteOffset()));
  }

  private void applyRead(LogReader.ReadOutcome outcome) {
    if (outcome instanceof LogReader.ReadOutcome.Folded folded) {
      applyRecord(folded);
      return;
    }
    FoldedState restored = ((LogReader.ReadOutcome.Restored) outcome).state();
    leaseAgents.replaceAll(
        (role, agent) -> runAgent(agent, new LeaseEvent.Restored(restored.lease(role))));
    restored
        .process(self.getVm())
        .filter(process -> process.getIncarnation().equals(self))
        .map(ProcessState::getSequence)
        .ifPresent(sequence -> runWriter(new LogWriter.Event.ReadBack(sequence)));
  }

  private void applyRecord(LogReader.ReadOutcome.Folded folded) {
    LogRecord record = folded.recordAt().getRecord();
    boolean isOwn = record.getWriter().equals(self);
    Optional<DualTimestamp> sentAt =
        isOwn
            ? injectionPoints.leaseStart.startedAt(writer.firstSentAt(record.getSequence()), now())
            : Optional.empty();
    LeaseEvent event =
        new LeaseEvent.Read(folded.recordAt().getOffset(), record, folded.accepted(), sentAt);
    leaseAgents.replaceAll((role, agent) -> runAgent(agent, event));
    if (record.getBody() instanceof Checkpoint checkpoint) {
      checkpointSchedule = checkpointSchedule.onRead(checkpoint, isOwn);
    }
    usage.onRecord(record, isOwn, folded.accepted());
    if (isOwn) {
      orders.onOwnRecord(record);
      pieces.onOwnRecord(record);
      runWriter(new LogWriter.Event.ReadBack(record.getSequence()));
    }
  }

  private LeaseAgent runAgent(LeaseAgent agent, LeaseEvent event) {
    Step<LeaseAgent, LeaseAction> step = agent.handle(event, now());
    for (LeaseAction action : step.actions()) {
      if (action instanceof LeaseAction.Write write) {
        writer = writer.enqueue(write.body());
      }
    }
    return step.state();
  }

  private void runWriter(LogWriter.Event event) {
    Step<LogWriter, LogWriter.Append> step =
        writer.handle(event, now(), deployment.simulation.random);
    writer = step.state();
    step.actions().forEach(this::append);
  }

  private void append(LogWriter.Append append) {
    if (!vm.canAppendToLog()) {
      return;
    }
    deployment.log.append(
        append.records(),
        stored ->
            vm.runInNode(
                this,
                () -> {
                  if (vm.receivesFromLog()) {
                    runWriter(
                        stored
                            ? new LogWriter.Event.Acknowledged(append.callId())
                            : new LogWriter.Event.Failed(append.callId()));
                  }
                }));
  }

  private void writeCheckpoint() {
    if (token(SimulatedDeployment.FLEET).isEmpty()) {
      return;
    }
    checkpointSchedule
        .due(state())
        .ifPresent(
            checkpoint -> {
              checkpointSchedule = checkpointSchedule.onSubmitted();
              write(checkpoint);
            });
  }

  /** Requests the state of a random peer while this process has no recent log contact. */
  private void requestPeerState() {
    OptionalLong ageMs = freshness.ownContactAgeMs(now());
    if (ageMs.isPresent() && ageMs.getAsLong() < PEER_REQUEST_AFTER_MS) {
      return;
    }
    SimulatedVm peer = deployment.simulation.random.pick(deployment.vms);
    DualTimestamp sentAt = now();
    long knownOffset = state().upToOffset();
    deployment.network.send(vm, peer, node -> node.sendStateTo(vm, this, knownOffset, sentAt));
  }

  private void sendStateTo(
      SimulatedVm to, SimulatedNode requester, long knownOffset, DualTimestamp sentAt) {
    OptionalLong ageMs = freshness.ownContactAgeMs(now());
    if (requester == this || ageMs.isEmpty()) {
      return;
    }
    RecordsReply reply =
        state().upToOffset() > knownOffset
            ? new RecordsReply(
                knownOffset, ageMs.getAsLong(), List.of(), state().toCheckpoint(), 0L)
            : new RecordsReply(knownOffset, ageMs.getAsLong(), List.of());
    long offset = state().upToOffset();
    deployment.network.send(
        vm,
        to,
        node -> {
          if (node == requester) {
            node.receivePeerState(reply, offset, sentAt);
          }
        });
  }

  private void receivePeerState(RecordsReply reply, long peerOffset, DualTimestamp sentAt) {
    reply
        .getSnapshot()
        .flatMap(checkpoint -> injectionPoints.stateRestorer.restore(reader, checkpoint).value())
        .ifPresent(this::applyReads);
    if (state().upToOffset() >= peerOffset) {
      freshness = freshness.withPeerContact(sentAt, reply.getLogContactAgeMs());
      join();
    }
  }
}
