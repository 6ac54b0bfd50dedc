package io.samphiregauge.core.backend;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The newest announcement of each backend server in the order of the changes, so that another entry
 * can be told only what it does not know yet. Used by one thread.
 */
public final class AnnouncementLog {
  /** Removed servers that are remembered; an entry that is further behind is told everything. */
  private static final int MAX_TOMBSTONES = 1_000;

  private final LinkedHashMap<String, Update> updates = new LinkedHashMap<>();
  private long version;
  private long compactedVersion;
  private int tombstones;

  /**
   * An announcement.
   *
   * @param key key of the server in the store
   * @param value what it announced; empty where it names no server any more
   * @param version number of the change, counted from 1
   */
  public record Update(String key, Optional<String> value, long version) {}

  /**
   * What changed.
   *
   * @param snapshot whether these are all announcements that stand, instead of the changed ones
   * @param updates the announcements, in order of their change
   */
  public record Changes(boolean snapshot, List<Update> updates) {
    /** Copies the entries. */
    public Changes {
      updates = List.copyOf(updates);
    }
  }

  /**
   * Notes a change.
   *
   * @param key key of the server in the store
   * @param value what it announces now, as text; empty where it names no server
   */
  public void put(String key, Optional<String> value) {
    Optional<Update> previous = Optional.ofNullable(updates.remove(key));
    tombstones -= isTombstone(previous) ? 1 : 0;
    version++;
    Update update = new Update(key, value, version);
    updates.put(key, update);
    tombstones += isTombstone(Optional.of(update)) ? 1 : 0;
    if (tombstones > MAX_TOMBSTONES) {
      compact();
    }
  }

  private static boolean isTombstone(Optional<Update> update) {
    return update.filter(present -> present.value().isEmpty()).isPresent();
  }

  private void compact() {
    updates.values().removeIf(update -> update.value().isEmpty());
    tombstones = 0;
    compactedVersion = version;
  }

  /** Returns the number of the newest change. */
  public long version() {
    return version;
  }

  /**
   * Tells what changed.
   *
   * @param knownVersion number of the newest change that the other entry knows, 0 if it knows none
   * @return the later changes, or everything where it knows none or is too far behind
   */
  public Changes since(long knownVersion) {
    boolean snapshot =
        knownVersion <= 0 || knownVersion < compactedVersion || knownVersion > version;
    List<Update> changed = new ArrayList<>();
    for (Map.Entry<String, Update> entry : updates.entrySet()) {
      Update announcement = entry.getValue();
      if (snapshot ? announcement.value().isPresent() : announcement.version() > knownVersion) {
        changed.add(announcement);
      }
    }
    return new Changes(snapshot, changed);
  }
}
