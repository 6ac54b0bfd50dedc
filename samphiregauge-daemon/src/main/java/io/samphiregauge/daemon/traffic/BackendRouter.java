package io.samphiregauge.daemon.traffic;

import io.samphiregauge.core.result.Result;
import io.samphiregauge.core.route.Candidate;
import io.samphiregauge.core.route.Route;
import io.samphiregauge.core.suspect.SuspicionLevel;
import io.samphiregauge.core.suspect.SuspicionView;
import io.samphiregauge.net.Address;
import io.samphiregauge.schema.config.Backend;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/** Gathers the candidates for a request and records the choice among them. */
final class BackendRouter {
  private final TrafficContext context;
  private final BackendLoadTracker loads;
  private final BackendIndex index;
  private final DecisionLog.DecisionBuffer decisions;

  BackendRouter(
      TrafficContext parts,
      BackendLoadTracker loads,
      BackendIndex index,
      DecisionLog.DecisionBuffer log) {
    this.context = parts;
    this.loads = loads;
    this.index = index;
    this.decisions = log;
  }

  /** Chooses a backend server that was not tried before. */
  Optional<Route> route(BackendCall call, Set<String> tried) {
    TrafficView view = context.viewSupplier().get();
    Predicate<String> mayStart = mayStart(call, view);
    List<Backend> serving =
        call.routeRequest()
            .model()
            .map(model -> index.enginesForModel(view.config(), model))
            .orElseGet(() -> index.backendsForService(view.config(), call.target()));
    List<Candidate> candidates = new ArrayList<>(serving.size());
    for (Backend backend : serving) {
      String name = backend.getName();
      if (isUsable(view, name, tried) && mayStart.test(name)) {
        candidates.add(new Candidate(backend, loads.runningCalls(name), 0, hopUs(backend)));
      }
    }
    Optional<Route> route = context.routingPolicy().choose(call.routeRequest(), candidates);
    decisions.add(call, route, candidates.size(), tried.size());
    return route;
  }

  /** Tells how a call may run; only calls for engines can be suspects. */
  SuspicionLevel suspicionLevel(BackendCall call) {
    return suspicionView(call, context.viewSupplier().get())
        .map(view -> view.level(call.fingerprint()))
        .orElse(SuspicionLevel.CLEAR);
  }

  /** Names the engines that could run a suspect. */
  List<String> usableEngines(BackendCall call, Set<String> tried) {
    TrafficView view = context.viewSupplier().get();
    return index.enginesForModel(view.config(), call.target()).stream()
        .map(Backend::getName)
        .filter(name -> isUsable(view, name, tried))
        .toList();
  }

  private boolean isUsable(TrafficView view, String name, Set<String> tried) {
    return !tried.contains(name)
        && !view.leavingBackends().contains(name)
        && !loads.isCoolingDown(name);
  }

  private static Predicate<String> mayStart(BackendCall call, TrafficView view) {
    Optional<SuspicionView> suspicions = suspicionView(call, view);
    if (suspicions.isEmpty()) {
      return name -> true;
    }
    String fingerprint = call.fingerprint();
    return name -> suspicions.get().mayStart(fingerprint, name);
  }

  private static Optional<SuspicionView> suspicionView(BackendCall call, TrafficView view) {
    return call.isForEngine() ? view.suspicions() : Optional.empty();
  }

  Result<Address> address(Backend backend) {
    return index.address(backend);
  }

  private int hopUs(Backend backend) {
    return backend.getFailureDomain().equals(context.settings().getFailureDomain())
        ? 0
        : context.settings().getDomainHopUs();
  }
}
