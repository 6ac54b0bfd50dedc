package io.samphiregauge.core.backend;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Registry of the backend servers that may receive requests, built from their announcements. Not
 * thread-safe.
 *
 * <p>During an outage of the store, healthy servers cannot renew their announcements, and the store
 * removes them. A server whose announcement is removed or becomes invalid therefore stays usable
 * for a grace period, unless it was draining.
 */
public final class BackendRegistry {
  private final long gracePeriodMs;
  private final Map<String, BackendServer> announced = new HashMap<>();
  private final Map<String, ExpiringServer> inGracePeriod = new HashMap<>();

  private record ExpiringServer(BackendServer server, long expiresMs) {}

  /**
   * Creates an empty registry.
   *
   * @param gracePeriodMs grace period in which a server stays usable after its announcement is
   *     removed
   */
  public BackendRegistry(long gracePeriodMs) {
    this.gracePeriodMs = gracePeriodMs;
  }

  /**
   * Applies an announcement.
   *
   * @param id identifier of the server
   * @param server the announced server; empty if the announcement was removed or is invalid
   * @param nowMs monotonic time in milliseconds
   * @return whether the announcement of the server changed
   */
  public boolean update(String id, Optional<BackendServer> server, long nowMs) {
    if (server.isPresent()) {
      inGracePeriod.remove(id);
      return !server.equals(Optional.ofNullable(announced.put(id, server.orElseThrow())));
    }
    Optional<BackendServer> removed = Optional.ofNullable(announced.remove(id));
    removed
        .filter(previous -> !previous.draining())
        .ifPresent(
            previous -> inGracePeriod.put(id, new ExpiringServer(previous, nowMs + gracePeriodMs)));
    return removed.isPresent();
  }

  /**
   * Replaces all announcements with a snapshot; used if the individual changes are not available.
   *
   * @param announcements the current announcements, by identifier of the server
   * @param nowMs monotonic time in milliseconds
   * @return identifiers of the servers whose announcement changed
   */
  public List<String> replaceAll(Map<String, BackendServer> announcements, long nowMs) {
    List<String> changed = new ArrayList<>();
    for (String id : List.copyOf(announced.keySet())) {
      if (!announcements.containsKey(id) && update(id, Optional.empty(), nowMs)) {
        changed.add(id);
      }
    }
    for (Map.Entry<String, BackendServer> entry : announcements.entrySet()) {
      if (update(entry.getKey(), Optional.of(entry.getValue()), nowMs)) {
        changed.add(entry.getKey());
      }
    }
    return changed;
  }

  /**
   * Removes the servers whose grace period has ended.
   *
   * @param nowMs monotonic time in milliseconds
   * @return whether the usable servers changed
   */
  public boolean expire(long nowMs) {
    boolean changed = false;
    for (Iterator<ExpiringServer> iterator = inGracePeriod.values().iterator();
        iterator.hasNext(); ) {
      if (iterator.next().expiresMs() <= nowMs) {
        iterator.remove();
        changed = true;
      }
    }
    return changed;
  }

  /**
   * Returns the earliest end of a grace period, at which {@link #expire} is due.
   *
   * @return monotonic time in milliseconds, or empty if no server is in its grace period
   */
  public OptionalLong nextExpiryMs() {
    return inGracePeriod.values().stream().mapToLong(ExpiringServer::expiresMs).min();
  }

  /**
   * Returns all servers that may still run requests: announced ones, and those in their grace
   * period.
   */
  public List<BackendServer> known() {
    List<BackendServer> known = new ArrayList<>(announced.values());
    inGracePeriod.values().forEach(entry -> known.add(entry.server()));
    return List.copyOf(known);
  }

  /**
   * Returns the servers that may receive requests.
   *
   * @return announced servers that are not draining, and servers in their grace period
   */
  public List<BackendServer> usable() {
    List<BackendServer> usable = new ArrayList<>();
    announced.values().stream().filter(server -> !server.draining()).forEach(usable::add);
    inGracePeriod.values().forEach(entry -> usable.add(entry.server()));
    return List.copyOf(usable);
  }
}
