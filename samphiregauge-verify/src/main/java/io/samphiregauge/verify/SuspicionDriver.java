package io.samphiregauge.verify;

import io.samphiregauge.core.Step;
import io.samphiregauge.core.suspect.Suspicion;
import io.samphiregauge.core.suspect.SuspicionAction;
import io.samphiregauge.core.suspect.SuspicionEvent;
import io.samphiregauge.core.suspect.SuspicionLevel;
import io.samphiregauge.core.suspect.SuspicionState;
import io.samphiregauge.core.suspect.SuspicionView;
import io.samphiregauge.schema.PeerMessage;
import io.samphiregauge.schema.peer.SuspicionAck;
import io.samphiregauge.schema.peer.SuspicionNotice;
import io.samphiregauge.schema.record.Incarnation;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/** Runs requests on model engines in one process and drives its suspicion state. */
final class SuspicionDriver {
  /** Result that a caller receives; traces and golden files contain the names. */
  enum CallResult {
    DONE,
    CRASHED,
    CONDEMNED,
    REFUSED
  }

  private static final int MAX_ISOLATION_ATTEMPTS = 12;
  private static final long ISOLATION_RETRY_MS = 250;

  private static final class EngineRun {
    final EngineCall call;
    final String engine;
    final Consumer<CallResult> callback;
    boolean proven;
    boolean crashed;

    EngineRun(EngineCall call, String engine, Consumer<CallResult> callback) {
      this.call = call;
      this.engine = engine;
      this.callback = callback;
    }
  }

  private record PendingIsolation(
      EngineCall call, Consumer<CallResult> callback, int attemptsLeft) {}

  private final SimulatedNode node;
  private final SimulatedDeployment deployment;
  private final List<EngineRun> runs = new ArrayList<>();
  private final Map<String, PendingIsolation> pendingIsolations = new LinkedHashMap<>();
  private SuspicionState state;

  SuspicionDriver(SimulatedNode node, SimulatedDeployment deployment) {
    this.node = node;
    this.deployment = deployment;
    this.state = SuspicionState.initial(node.self);
  }

  void tick() {
    if (node.state().isLive(node.self)) {
      apply(node.membership.membersChanged());
    }
    apply(new SuspicionEvent.Tick());
  }

  /**
   * Exempts all pending requests from the invariants on crashes: their callers receive no response
   * from the terminated process, and may repeat a request before all entries know of its crash.
   */
  void terminate() {
    runs.forEach(run -> run.call.exempt().set(true));
    pendingIsolations.values().forEach(pending -> pending.call().exempt().set(true));
  }

  void handle(EngineCall call, Consumer<CallResult> callback) {
    if (!node.isFresh() || !state.view().synced()) {
      callback.accept(CallResult.REFUSED);
      return;
    }
    start(call, callback, MAX_ISOLATION_ATTEMPTS);
  }

  private void start(EngineCall call, Consumer<CallResult> callback, int attemptsLeft) {
    SuspicionLevel level = state.level(call.fingerprint());
    if (level == SuspicionLevel.BLOCKED) {
      deployment.simulation.observe(
          new Observation.RequestBlocked(call.fingerprint(), call.crashes(), call.isExempt()));
      callback.accept(CallResult.CONDEMNED);
      return;
    }
    SuspicionView view = state.view();
    List<SimulatedEngine> available =
        deployment.engines.stream()
            .filter(SimulatedEngine::isUp)
            .filter(
                engine ->
                    deployment.injectionPoints.engineStartCheck.mayStart(
                        view, call.fingerprint(), engine.name))
            .toList();
    if (!available.isEmpty()) {
      run(call, deployment.simulation.random.pick(available), callback);
    } else if (level == SuspicionLevel.SUSPECT && attemptsLeft > 0) {
      isolate(call, callback, attemptsLeft);
    } else {
      apply(new SuspicionEvent.Finished(call.fingerprint(), false));
      callback.accept(CallResult.REFUSED);
    }
  }

  private void isolate(EngineCall call, Consumer<CallResult> callback, int attemptsLeft) {
    if (pendingIsolations.containsKey(call.fingerprint())) {
      callback.accept(CallResult.REFUSED);
      return;
    }
    pendingIsolations.put(
        call.fingerprint(), new PendingIsolation(call, callback, attemptsLeft - 1));
    List<String> candidates = new ArrayList<>();
    deployment.engines.stream()
        .filter(SimulatedEngine::isUp)
        .forEach(engine -> candidates.add(engine.name));
    apply(new SuspicionEvent.IsolationRequested(call.fingerprint(), candidates));
    schedule(
        ISOLATION_RETRY_MS * MAX_ISOLATION_ATTEMPTS,
        () -> cancelIsolation(call.fingerprint(), callback));
  }

  private void cancelIsolation(String fingerprint, Consumer<CallResult> callback) {
    Optional<PendingIsolation> pending = Optional.ofNullable(pendingIsolations.get(fingerprint));
    if (pending.filter(p -> p.callback() == callback).isPresent()) {
      pendingIsolations.remove(fingerprint);
      apply(new SuspicionEvent.Finished(fingerprint, false));
      callback.accept(CallResult.REFUSED);
    }
  }

  private void run(EngineCall call, SimulatedEngine engine, Consumer<CallResult> callback) {
    EngineRun run = new EngineRun(call, engine.name, callback);
    runs.add(run);
    deployment.simulation.trace(
        () -> "%s starts %s on %s".formatted(node.vm.name, call.fingerprint(), engine.name));
    engine.start(call, progress -> node.vm.runInNode(node, () -> onProgress(run, progress)));
  }

  private void onProgress(EngineRun run, SimulatedEngine.Progress progress) {
    if (progress == SimulatedEngine.Progress.PROVEN) {
      run.proven = true;
    } else if (progress == SimulatedEngine.Progress.FINISHED) {
      runs.remove(run);
      node.usage.count();
      apply(new SuspicionEvent.Finished(run.call.fingerprint(), true));
      run.callback.accept(CallResult.DONE);
    } else if (!run.crashed) {
      reportCrash(run.engine);
    }
  }

  private void reportCrash(String engine) {
    List<String> crashed = new ArrayList<>();
    for (EngineRun run : runs) {
      if (run.engine.equals(engine) && !run.crashed) {
        run.crashed = true;
        crashed.add(run.call.fingerprint());
      }
    }
    apply(new SuspicionEvent.Crashed(engine, crashed));
  }

  private void apply(SuspicionEvent event) {
    Step<SuspicionState, SuspicionAction> step = Suspicion.handle(state, event, node.nowMs());
    state = step.state();
    step.actions().forEach(this::execute);
  }

  private void execute(SuspicionAction action) {
    if (action instanceof SuspicionAction.Send send) {
      send(send.to(), send.message());
    } else if (action instanceof SuspicionAction.CheckEngines check) {
      List<String> busy = check.engines().stream().filter(this::isBusy).toList();
      apply(new SuspicionEvent.EnginesChecked(check.reservedBy(), check.number(), busy));
    } else if (action instanceof SuspicionAction.ReleaseCallers release) {
      releaseCallers(release);
    } else if (action instanceof SuspicionAction.IsolationGranted granted) {
      retryAfterIsolation(granted.fingerprint(), 0);
    } else if (action instanceof SuspicionAction.IsolationRefused refused) {
      retryAfterIsolation(refused.fingerprint(), ISOLATION_RETRY_MS);
    }
  }

  private boolean isBusy(String engine) {
    return runs.stream()
        .filter(run -> run.engine.equals(engine) && !run.crashed)
        .anyMatch(
            run -> !run.proven || state.level(run.call.fingerprint()) != SuspicionLevel.CLEAR);
  }

  private void releaseCallers(SuspicionAction.ReleaseCallers release) {
    List<EngineRun> crashed =
        runs.stream()
            .filter(run -> run.crashed && run.engine.equals(release.engine()))
            .filter(run -> release.fingerprints().contains(run.call.fingerprint()))
            .toList();
    for (EngineRun run : crashed) {
      runs.remove(run);
      if (!release.allAcknowledged()) {
        run.call.exempt().set(true);
      }
      run.callback.accept(CallResult.CRASHED);
    }
  }

  private void retryAfterIsolation(String fingerprint, long delayMs) {
    Optional.ofNullable(pendingIsolations.remove(fingerprint))
        .ifPresent(
            pending ->
                schedule(
                    delayMs,
                    () -> start(pending.call(), pending.callback(), pending.attemptsLeft())));
  }

  private void send(Incarnation to, PeerMessage message) {
    SimulatedVm target = deployment.vm(to.getVm()).orElseThrow();
    deployment.network.send(
        node.vm,
        target,
        receiver -> {
          if (receiver.self.equals(to)) {
            receiver.traffic.suspicion.receive(node.self, message);
          }
        });
  }

  private void receive(Incarnation from, PeerMessage message) {
    if (message instanceof SuspicionNotice notice) {
      apply(new SuspicionEvent.NoticeReceived(from, notice));
    } else if (message instanceof SuspicionAck ack) {
      apply(new SuspicionEvent.AckReceived(from, ack));
    }
  }

  private void schedule(long delayMs, Runnable task) {
    deployment.simulation.schedule(delayMs, () -> node.vm.runInNode(node, task));
  }
}
