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
final class Router {
  private final TrafficParts parts;
  private final BackendLoads loads;
  private final BackendIndex index;
  private final DecisionLog.Lines log;

  Router(TrafficParts parts, BackendLoads loads, BackendIndex index, DecisionLog.Lines log) {
    this.parts = parts;
    this.loads = loads;
    this.index = index;
    this.log = log;
  }

  /** Chooses a backend server that was not tried before. */
  Optional<Route> route(Call call, Set<String> tried) {
    TrafficView view = parts.views().get();
    Predicate<String> mayStart = mayStart(call, view);
    List<Backend> serving =
        call.route()
            .model()
            .map(model -> index.engines(view.config(), model))
            .orElseGet(() -> index.services(view.config(), call.target()));
    List<Candidate> candidates = new ArrayList<>(serving.size());
    for (Backend backend : serving) {
      String name = backend.getName();
      if (isUsable(view, name, tried) && mayStart.test(name)) {
        candidates.add(new Candidate(backend, loads.running(name), 0, hopUs(backend)));
      }
    }
    Optional<Route> route = parts.policy().choose(call.route(), candidates);
    log.add(call, route, candidates.size(), tried.size());
    return route;
  }

  /** Tells how a call may run; only calls for engines can be suspects. */
  SuspicionLevel standing(Call call) {
    return suspicions(call, parts.views().get())
        .map(view -> view.level(call.fingerprint()))
        .orElse(SuspicionLevel.CLEAR);
  }

  /** Names the engines that could run a suspect. */
  List<String> engines(Call call, Set<String> tried) {
    TrafficView view = parts.views().get();
    return index.engines(view.config(), call.target()).stream()
        .map(Backend::getName)
        .filter(name -> isUsable(view, name, tried))
        .toList();
  }

  private boolean isUsable(TrafficView view, String name, Set<String> tried) {
    return !tried.contains(name) && !view.leavingBackends().contains(name) && !loads.isHeld(name);
  }

  private static Predicate<String> mayStart(Call call, TrafficView view) {
    Optional<SuspicionView> suspicions = suspicions(call, view);
    if (suspicions.isEmpty()) {
      return name -> true;
    }
    String fingerprint = call.fingerprint();
    return name -> suspicions.get().mayStart(fingerprint, name);
  }

  private static Optional<SuspicionView> suspicions(Call call, TrafficView view) {
    return call.isForEngine() ? view.suspicions() : Optional.empty();
  }

  Result<Address> address(Backend backend) {
    return index.address(backend);
  }

  private int hopUs(Backend backend) {
    return backend.getFailureDomain().equals(parts.settings().getFailureDomain())
        ? 0
        : parts.settings().getDomainHopUs();
  }
}
