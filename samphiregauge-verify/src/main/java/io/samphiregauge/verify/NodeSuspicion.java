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

/** Runs requests on model engines in one process, and shares what crashes them. */
final class NodeSuspicion {
  /** What a caller learns. */
  enum Result {
    DONE,
    CRASHED,
    CONDEMNED,
    REFUSED
  }

  private static final int ISOLATION_TRIES = 12;
  private static final long ISOLATION_RETRY_MS = 250;

  private static final class Run {
    final EngineCall call;
    final String engine;
    final Consumer<Result> answer;
    boolean proven;
    boolean crashed;

    Run(EngineCall call, String engine, Consumer<Result> answer) {
      this.call = call;
      this.engine = engine;
      this.answer = answer;
    }
  }

  private record Waiting(EngineCall call, Consumer<Result> answer, int triesLeft) {}

  private final Node node;
  private final Deployment deployment;
  private final List<Run> runs = new ArrayList<>();
  private final Map<String, Waiting> isolating = new LinkedHashMap<>();
  private SuspicionState state;

  NodeSuspicion(Node node, Deployment deployment) {
    this.node = node;
    this.deployment = deployment;
    this.state = SuspicionState.initial(node.self);
  }

  void tick() {
    if (node.state().isLive(node.self)) {
      apply(node.members.live());
    }
    apply(new SuspicionEvent.Tick());
  }

  /** A caller of a process that dies gets no answer. */
  void die() {
    runs.forEach(run -> run.call.excuse().set(true));
    isolating.values().forEach(waiting -> waiting.call().excuse().set(true));
  }

  void take(EngineCall call, Consumer<Result> answer) {
    if (!node.isFresh() || !state.view().synced()) {
      answer.accept(Result.REFUSED);
      return;
    }
    start(call, answer, ISOLATION_TRIES);
  }

  private void start(EngineCall call, Consumer<Result> answer, int triesLeft) {
    SuspicionLevel standing = state.level(call.fingerprint());
    if (standing == SuspicionLevel.BLOCKED) {
      deployment.world.observe(
          new Observation.Condemned(call.fingerprint(), call.crashes(), call.excused()));
      answer.accept(Result.CONDEMNED);
      return;
    }
    SuspicionView view = state.view();
    List<EngineFake> open =
        deployment.engines.stream()
            .filter(EngineFake::isUp)
            .filter(e -> deployment.seams.start.mayStart(view, call.fingerprint(), e.name))
            .toList();
    if (!open.isEmpty()) {
      run(call, deployment.world.random.pick(open), answer);
    } else if (standing == SuspicionLevel.SUSPECT && triesLeft > 0) {
      isolate(call, answer, triesLeft);
    } else {
      apply(new SuspicionEvent.Finished(call.fingerprint(), false));
      answer.accept(Result.REFUSED);
    }
  }

  private void isolate(EngineCall call, Consumer<Result> answer, int triesLeft) {
    if (isolating.containsKey(call.fingerprint())) {
      answer.accept(Result.REFUSED);
      return;
    }
    isolating.put(call.fingerprint(), new Waiting(call, answer, triesLeft - 1));
    List<String> candidates = new ArrayList<>();
    deployment.engines.stream().filter(EngineFake::isUp).forEach(e -> candidates.add(e.name));
    apply(new SuspicionEvent.IsolationRequested(call.fingerprint(), candidates));
    later(ISOLATION_RETRY_MS * ISOLATION_TRIES, () -> giveUp(call.fingerprint(), answer));
  }

  private void giveUp(String fingerprint, Consumer<Result> answer) {
    Optional<Waiting> waiting = Optional.ofNullable(isolating.get(fingerprint));
    if (waiting.filter(w -> w.answer() == answer).isPresent()) {
      isolating.remove(fingerprint);
      apply(new SuspicionEvent.Finished(fingerprint, false));
      answer.accept(Result.REFUSED);
    }
  }

  private void run(EngineCall call, EngineFake engine, Consumer<Result> answer) {
    Run run = new Run(call, engine.name, answer);
    runs.add(run);
    deployment.world.trace(
        () -> "%s starts %s on %s".formatted(node.vm.name, call.fingerprint(), engine.name));
    engine.start(call, progress -> node.vm.inProcess(node, () -> onProgress(run, progress)));
  }

  private void onProgress(Run run, EngineFake.Progress progress) {
    if (progress == EngineFake.Progress.PROVEN) {
      run.proven = true;
    } else if (progress == EngineFake.Progress.FINISHED) {
      runs.remove(run);
      node.usage.count();
      apply(new SuspicionEvent.Finished(run.call.fingerprint(), true));
      run.answer.accept(Result.DONE);
    } else if (!run.crashed) {
      crash(run.engine);
    }
  }

  private void crash(String engine) {
    List<String> lost = new ArrayList<>();
    for (Run run : runs) {
      if (run.engine.equals(engine) && !run.crashed) {
        run.crashed = true;
        lost.add(run.call.fingerprint());
      }
    }
    apply(new SuspicionEvent.Crashed(engine, lost));
  }

  private void apply(SuspicionEvent event) {
    Step<SuspicionState, SuspicionAction> step = Suspicion.apply(state, event, node.nowMs());
    state = step.state();
    step.actions().forEach(this::carryOut);
  }

  private void carryOut(SuspicionAction action) {
    if (action instanceof SuspicionAction.Send send) {
      send(send.to(), send.message());
    } else if (action instanceof SuspicionAction.CheckEngines check) {
      List<String> busy = check.engines().stream().filter(this::isBusy).toList();
      apply(new SuspicionEvent.EnginesChecked(check.reservedBy(), check.number(), busy));
    } else if (action instanceof SuspicionAction.ReleaseCallers answered) {
      answerCrashed(answered);
    } else if (action instanceof SuspicionAction.IsolationGranted granted) {
      resume(granted.fingerprint(), 0);
    } else if (action instanceof SuspicionAction.IsolationRefused refused) {
      resume(refused.fingerprint(), ISOLATION_RETRY_MS);
    }
  }

  private boolean isBusy(String engine) {
    return runs.stream()
        .filter(run -> run.engine.equals(engine) && !run.crashed)
        .anyMatch(
            run -> !run.proven || state.level(run.call.fingerprint()) != SuspicionLevel.CLEAR);
  }

  private void answerCrashed(SuspicionAction.ReleaseCallers answered) {
    List<Run> lost =
        runs.stream()
            .filter(run -> run.crashed && run.engine.equals(answered.engine()))
            .filter(run -> answered.fingerprints().contains(run.call.fingerprint()))
            .toList();
    for (Run run : lost) {
      runs.remove(run);
      if (!answered.allAcknowledged()) {
        run.call.excuse().set(true);
      }
      run.answer.accept(Result.CRASHED);
    }
  }

  private void resume(String fingerprint, long delayMs) {
    Optional.ofNullable(isolating.remove(fingerprint))
        .ifPresent(w -> later(delayMs, () -> start(w.call(), w.answer(), w.triesLeft())));
  }

  private void send(Incarnation to, PeerMessage message) {
    Vm target = deployment.vm(to.getVm()).orElseThrow();
    deployment.net.send(
        node.vm,
        target,
        there -> {
          if (there.self.equals(to)) {
            there.traffic.suspicion.receive(node.self, message);
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

  private void later(long delayMs, Runnable what) {
    deployment.world.in(delayMs, () -> node.vm.inProcess(node, what));
  }
}
