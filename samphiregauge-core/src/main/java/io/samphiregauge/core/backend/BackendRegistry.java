package io.samphiregauge.core.backend;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The backend servers that may get work, folded from their announcements. Used by one thread.
 *
 * <p>An announcement that lapsed may come back, because the store drops those of servers that could
 * not renew them during an outage. A server whose announcement is gone therefore stays usable for a
 * short time, unless it was draining.
 */
public final class BackendRegistry {
  private final long lapseGraceMs;
  private final Map<String, BackendServer> announced = new HashMap<>();
  private final Map<String, Lapsed> lapsed = new HashMap<>();

  private record Lapsed(BackendServer server, long expiresMs) {}

  /**
   * Makes an empty book.
   *
   * @param lapseGraceMs time for which a server stays usable after its announcement is gone
   */
  public BackendRegistry(long lapseGraceMs) {
    this.lapseGraceMs = lapseGraceMs;
  }

  /**
   * Takes an announcement.
   *
   * @param id identifier of the server
   * @param server what it announced; empty where the announcement is gone or cannot be used
   * @param nowMs monotonic time
   * @return whether the usable servers changed
   */
  public boolean update(String id, Optional<BackendServer> server, long nowMs) {
    if (server.isPresent()) {
      lapsed.remove(id);
      return !server.equals(Optional.ofNullable(announced.put(id, server.orElseThrow())));
    }
    Optional<BackendServer> removed = Optional.ofNullable(announced.remove(id));
    removed
        .filter(previous -> !previous.draining())
        .ifPresent(previous -> lapsed.put(id, new Lapsed(previous, nowMs + lapseGraceMs)));
    return removed.isPresent();
  }

  /**
   * Replaces all announcements, after the history of changes was lost.
   *
   * @param announcements the announcements that stand now, by identifier
   * @param nowMs monotonic time
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
   * Drops the servers whose grace has ended.
   *
   * @param nowMs monotonic time
   * @return whether the usable servers changed
   */
  public boolean expire(long nowMs) {
    boolean changed = false;
    for (Iterator<Lapsed> iterator = lapsed.values().iterator(); iterator.hasNext(); ) {
      if (iterator.next().expiresMs() <= nowMs) {
        iterator.remove();
        changed = true;
      }
    }
    return changed;
  }

  /**
   * Returns when the next grace ends, so that the servers can be dropped at that time.
   *
   * @return monotonic time, if a server has a grace
   */
  public OptionalLong nextExpiryMs() {
    return lapsed.values().stream().mapToLong(Lapsed::expiresMs).min();
  }

  /**
   * Returns the servers that may get work.
   *
   * @return servers that announce themselves as ready, and those that lapsed a moment ago
   */
  public List<BackendServer> usable() {
    List<BackendServer> usable = new ArrayList<>();
    announced.values().stream().filter(server -> !server.draining()).forEach(usable::add);
    lapsed.values().forEach(entry -> usable.add(entry.server()));
    return List.copyOf(usable);
  }
}
