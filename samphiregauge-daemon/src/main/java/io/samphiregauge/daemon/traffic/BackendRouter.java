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

/**
 * Collects the candidate backend servers for a call, applies the routing policy and logs the
 * decision. Confined to one event loop.
 */
final class BackendRouter {
  private final TrafficContext context;
  private final BackendLoadTracker loads;
  private final BackendIndex index;
  private final DecisionLog.DecisionBuffer decisions;

  BackendRouter(
      TrafficContext context,
      BackendLoadTracker loads,
      BackendIndex index,
      DecisionLog.DecisionBuffer decisions) {
    this.context = context;
    this.loads = loads;
    this.index = index;
    this.decisions = decisions;
  }

  /** Selects a backend server that was not tried before, or returns empty if there is none. */
  Optional<Route> route(BackendCall call, Set<String> triedBackends) {
    TrafficView view = context.viewSupplier().get();
    Predicate<String> mayStart = mayStart(call, view);
    List<Backend> backends =
        call.routeRequest()
            .model()
            .map(model -> index.enginesForModel(view.config(), model))
            .orElseGet(() -> index.backendsForService(view.config(), call.target()));
    List<Candidate> candidates = new ArrayList<>(backends.size());
    for (Backend backend : backends) {
      String name = backend.getName();
      if (isUsable(view, name, triedBackends) && mayStart.test(name)) {
        candidates.add(new Candidate(backend, loads.runningCalls(name), 0, hopUs(backend)));
      }
    }
    Optional<Route> route = context.routingPolicy().choose(call.routeRequest(), candidates);
    decisions.add(call, route, candidates.size(), triedBackends.size());
    return route;
  }

  /** Returns the suspicion level of a call; calls for plain services are always clear. */
  SuspicionLevel suspicionLevel(BackendCall call) {
    return suspicionView(call, context.viewSupplier().get())
        .map(view -> view.level(call.fingerprint()))
        .orElse(SuspicionLevel.CLEAR);
  }

  /** Returns the names of the engines that could run a suspect call. */
  List<String> usableEngines(BackendCall call, Set<String> triedBackends) {
    TrafficView view = context.viewSupplier().get();
    return index.enginesForModel(view.config(), call.target()).stream()
        .map(Backend::getName)
        .filter(name -> isUsable(view, name, triedBackends))
        .toList();
  }

  private boolean isUsable(TrafficView view, String name, Set<String> triedBackends) {
    return !triedBackends.contains(name)
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
