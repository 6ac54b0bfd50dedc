package io.samphiregauge.core.backend;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Compacted change log of the backend servers' announcements: the latest one per server, ordered by
 * version, so that another entry receives only the changes since its last request. Not thread-safe.
 */
public final class AnnouncementLog {
  /** Maximum number of retained tombstones; an entry that is further behind receives a snapshot. */
  private static final int MAX_TOMBSTONES = 1_000;

  private final LinkedHashMap<String, Update> updates = new LinkedHashMap<>();
  private long version;
  private long compactedVersion;
  private int tombstones;

  /**
   * The latest change of an announcement.
   *
   * @param key key of the server in the store
   * @param value text of the announcement; empty for a tombstone
   * @param version version of the change, from 1
   */
  public record Update(String key, Optional<String> value, long version) {}

  /**
   * Changes since a version.
   *
   * @param snapshot whether the updates are all current announcements instead of the changed ones
   * @param updates the updates, ordered by version
   */
  public record Changes(boolean snapshot, List<Update> updates) {
    /** Creates changes with an immutable copy of the updates. */
    public Changes {
      updates = List.copyOf(updates);
    }
  }

  /**
   * Appends a change.
   *
   * @param key key of the server in the store
   * @param value text of the announcement; empty if the server is removed
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
    return update.filter(known -> known.value().isEmpty()).isPresent();
  }

  private void compact() {
    updates.values().removeIf(update -> update.value().isEmpty());
    tombstones = 0;
    compactedVersion = version;
  }

  /** Returns the version of the latest change, 0 without any. */
  public long version() {
    return version;
  }

  /**
   * Returns the changes after a version.
   *
   * @param knownVersion version of the latest change that the requesting entry has, 0 for none
   * @return the later changes, or a snapshot if the version is 0, unknown or older than the last
   *     compaction
   */
  public Changes since(long knownVersion) {
    boolean snapshot =
        knownVersion <= 0 || knownVersion < compactedVersion || knownVersion > version;
    List<Update> changed = new ArrayList<>();
    for (Map.Entry<String, Update> entry : updates.entrySet()) {
      Update update = entry.getValue();
      if (snapshot ? update.value().isPresent() : update.version() > knownVersion) {
        changed.add(update);
      }
    }
    return new Changes(snapshot, changed);
  }
}
