package io.samphiregauge.gateway.traffic;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The requests that wait until a server of their service may be used again, in the order of their
 * arrival. Each also has a timer of its own. Confined to one event loop.
 */
final class HeldRequests {
  private final Map<String, Set<Runnable>> byService = new HashMap<>();

  /**
   * Adds a request.
   *
   * @param service name of its service
   * @param resume makes the request look for a server again
   */
  void add(String service, Runnable resume) {
    byService.computeIfAbsent(service, name -> new LinkedHashSet<>()).add(resume);
  }

  /** Removes a request that is resumed by its timer or has ended; returns whether it was held. */
  boolean remove(String service, Runnable resume) {
    return Optional.ofNullable(byService.get(service))
        .filter(held -> held.remove(resume))
        .isPresent();
  }

  /** Resumes the first requests of a service after a server has shown room for them. */
  void resume(String service, int count) {
    List<Runnable> resumed =
        byService.getOrDefault(service, Set.of()).stream().limit(count).toList();
    resumed.forEach(resume -> remove(service, resume));
    resumed.forEach(Runnable::run);
  }
}
