package io.samphiregauge.verify;

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
import java.util.OptionalLong;

/** One process: hands events to the control state machines and carries out their actions. */
final class Node {
  private static final long READ_TIMEOUT_MS = 2_000;
  private static final long ASK_PEER_AFTER_MS = 1_500;

  final Incarnation self;
  final Vm vm;
  final NodeMembers members;
  final NodeUsage usage;
  final NodePieces pieces;
  private final NodeOrders orders;
  final NodeTraffic traffic;
  private final Deployment deployment;
  private final Seams seams;
  private final Map<String, LeaseAgent> agents = new LinkedHashMap<>();
  private LogReader reader = LogReader.atStart();
  private LogWriter writer;
  private Freshness freshness = Freshness.none();
  private CheckpointSchedule checkpoints =
      CheckpointSchedule.withRetention(LogFake.RETENTION_RECORDS);
  private OptionalLong readSentMs = OptionalLong.empty();
  private boolean caughtUpOnce;

  Node(Vm vm, Deployment deployment) {
    this.vm = vm;
    this.deployment = deployment;
    this.seams = deployment.seams;
    World world = deployment.world;
    this.self = new Incarnation(vm.name, 1_000 + world.nowMs(), world.random.nextLong() >>> 1);
    this.writer = LogWriter.of(self);
    for (String role : Deployment.ROLES) {
      agents.put(role, LeaseAgent.of(role, self));
    }
    this.pieces = new NodePieces(this, deployment);
    this.usage = new NodeUsage(this, deployment);
    this.orders = new NodeOrders(this, deployment);
    this.members = new NodeMembers(this, deployment);
    this.traffic = new NodeTraffic(this, deployment);
  }

  void start() {
    deployment.world.trace(() -> vm.name + " starts as #" + self.getStartMs());
    writer =
        writer.enqueue(
            new Joined(Deployment.REGION, vm.domain, vm.httpAddress(), vm.peerAddress()));
    tick();
  }

  void die() {
    traffic.die();
  }

  FoldedState state() {
    return reader.state();
  }

  long nowMs() {
    return vm.clockMs();
  }

  Freshness freshness() {
    return freshness;
  }

  /** Tells whether keyed requests may run; not once the process has read of its own end. */
  boolean isFresh() {
    boolean serves = caughtUpOnce && state().isLive(self);
    return serves && seams.freshCheck.isFresh(freshness, nowMs());
  }

  /** Tells whether no question about an outage is due. */
  boolean hasRecentLogContact() {
    OptionalLong ageMs = freshness.ownContactAgeMs(nowMs());
    return ageMs.isPresent() && ageMs.getAsLong() <= OutageReports.CONTACT_TIMEOUT_MS;
  }

  /** Returns the fencing token under which this process may act now. */
  OptionalLong token(String role) {
    return seams.authority.token(agents.get(role), nowMs());
  }

  void write(RecordBody body) {
    writer = writer.enqueue(body);
    runWriter(new LogWriter.Event.Tick());
  }

  private void tick() {
    if (state().hasEnded(self)) {
      deployment.world.trace(() -> vm.name + " reads that it has ended");
      vm.restart();
      return;
    }
    readLog();
    askPeer();
    agents.replaceAll((role, agent) -> runAgent(agent, new LeaseEvent.Tick()));
    runWriter(new LogWriter.Event.Tick());
    writeCheckpoint();
    members.tick();
    members.outageMs().ifPresent(ms -> freshness = freshness.withOutage(ms));
    pieces.tick();
    orders.tick();
    usage.tick();
    traffic.tick();
    long nextMs = deployment.world.random.between(150, 350);
    deployment.world.in(nextMs, () -> vm.inProcess(this, this::tick));
  }

  private void readLog() {
    boolean open = readSentMs.isPresent() && nowMs() - readSentMs.getAsLong() < READ_TIMEOUT_MS;
    if (open) {
      return;
    }
    long sentMs = nowMs();
    readSentMs = OptionalLong.of(sentMs);
    if (vm.reachesLog()) {
      deployment.log.read(
          reader.nextOffset(), page -> vm.inProcess(this, () -> onPage(page, sentMs)));
    }
  }

  private void onPage(RecordsPage page, long sentMs) {
    if (!vm.reachesLog()) {
      return;
    }
    take(seams.readPage.read(reader, page));
    if (reader.isCaughtUp(page)) {
      freshness = freshness.withOwnContact(sentMs);
      join();
    }
    if (readSentMs.isPresent() && readSentMs.getAsLong() == sentMs) {
      readSentMs = OptionalLong.empty();
      readLog();
    }
  }

  /** Leases are wanted once the process has joined. */
  private void join() {
    if (!caughtUpOnce && state().isLive(self)) {
      caughtUpOnce = true;
      long delayMs = deployment.world.random.between(0, 500);
      agents.replaceAll((role, agent) -> runAgent(agent, new LeaseEvent.Candidacy(true, delayMs)));
    }
  }

  private void take(Step<LogReader, LogReader.ReadOutcome> step) {
    reader = step.state();
    step.actions().forEach(this::takeRead);
    deployment.world.observe(
        new Observation.Folded(self, state().upToOffset(), state().noteOffset()));
  }

  private void takeRead(LogReader.ReadOutcome read) {
    if (read instanceof LogReader.ReadOutcome.Folded folded) {
      takeRecord(folded);
      return;
    }
    FoldedState restored = ((LogReader.ReadOutcome.Restored) read).state();
    agents.replaceAll(
        (role, agent) -> runAgent(agent, new LeaseEvent.Restored(restored.lease(role))));
    restored
        .process(self.getVm())
        .filter(process -> process.getIncarnation().equals(self))
        .map(ProcessState::getSequence)
        .ifPresent(sequence -> runWriter(new LogWriter.Event.ReadBack(sequence)));
  }

  private void takeRecord(LogReader.ReadOutcome.Folded folded) {
    LogRecord entry = folded.recordAt().getRecord();
    boolean own = entry.getWriter().equals(self);
    OptionalLong sentMs =
        own
            ? seams.sentTime.from(writer.firstSentMs(entry.getSequence()), nowMs())
            : OptionalLong.empty();
    LeaseEvent event =
        new LeaseEvent.Read(folded.recordAt().getOffset(), entry, folded.accepted(), sentMs);
    agents.replaceAll((role, agent) -> runAgent(agent, event));
    if (entry.getBody() instanceof Checkpoint checkpoint) {
      checkpoints = checkpoints.onRead(checkpoint, own);
    }
    usage.read(entry, own, folded.accepted());
    if (own) {
      orders.read(entry);
      pieces.read(entry);
      runWriter(new LogWriter.Event.ReadBack(entry.getSequence()));
    }
  }

  private LeaseAgent runAgent(LeaseAgent agent, LeaseEvent event) {
    Step<LeaseAgent, LeaseAction> step = agent.handle(event, nowMs());
    for (LeaseAction action : step.actions()) {
      if (action instanceof LeaseAction.Write write) {
        writer = writer.enqueue(write.body());
      }
    }
    return step.state();
  }

  private void runWriter(LogWriter.Event event) {
    Step<LogWriter, LogWriter.Append> step = writer.handle(event, nowMs(), deployment.world.random);
    writer = step.state();
    step.actions().forEach(this::append);
  }

  private void append(LogWriter.Append append) {
    if (!vm.writesLog()) {
      return;
    }
    deployment.log.append(
        append.records(),
        stored ->
            vm.inProcess(
                this,
                () -> {
                  if (vm.reachesLog()) {
                    runWriter(
                        stored
                            ? new LogWriter.Event.Acknowledged(append.callId())
                            : new LogWriter.Event.Failed(append.callId()));
                  }
                }));
  }

  private void writeCheckpoint() {
    if (token(Deployment.FLEET).isEmpty()) {
      return;
    }
    checkpoints
        .due(state())
        .ifPresent(
            checkpoint -> {
              checkpoints = checkpoints.onSubmitted();
              write(checkpoint);
            });
  }

  /** Asks a peer for its state while the log is out of reach. */
  private void askPeer() {
    OptionalLong ageMs = freshness.ownContactAgeMs(nowMs());
    if (ageMs.isPresent() && ageMs.getAsLong() < ASK_PEER_AFTER_MS) {
      return;
    }
    Vm peer = deployment.world.random.pick(deployment.vms);
    long sentMs = nowMs();
    long heldOffset = state().upToOffset();
    deployment.net.send(vm, peer, node -> node.tellState(vm, this, heldOffset, sentMs));
  }

  private void tellState(Vm to, Node asking, long heldOffset, long sentMs) {
    OptionalLong ageMs = freshness.ownContactAgeMs(nowMs());
    if (asking == this || ageMs.isEmpty()) {
      return;
    }
    RecordsReply reply =
        state().upToOffset() > heldOffset
            ? new RecordsReply(heldOffset, ageMs.getAsLong(), List.of(), state().toCheckpoint(), 0L)
            : new RecordsReply(heldOffset, ageMs.getAsLong(), List.of());
    long offset = state().upToOffset();
    deployment.net.send(
        vm,
        to,
        node -> {
          if (node == asking) {
            node.onPeerState(reply, offset, sentMs);
          }
        });
  }

  private void onPeerState(RecordsReply reply, long peerOffset, long sentMs) {
    reply
        .getSnapshot()
        .flatMap(snapshot -> seams.restore.restore(reader, snapshot).value())
        .ifPresent(this::take);
    if (state().upToOffset() >= peerOffset) {
      freshness = freshness.withPeerContact(sentMs, reply.getLogContactAgeMs());
      join();
    }
  }
}
