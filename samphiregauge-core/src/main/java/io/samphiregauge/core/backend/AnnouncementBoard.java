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
public final class AnnouncementBoard {
  /** Removed servers that are remembered; an entry that is further behind is told everything. */
  private static final int MAX_REMOVED = 1_000;

  private final LinkedHashMap<String, Entry> entries = new LinkedHashMap<>();
  private long version;
  private long forgottenVersion;
  private int removed;

  /**
   * An announcement.
   *
   * @param key key of the server in the store
   * @param value what it announced; empty where it names no server any more
   * @param version number of the change, counted from 1
   */
  public record Entry(String key, Optional<String> value, long version) {}

  /**
   * What changed.
   *
   * @param whole whether these are all announcements that stand, instead of the changed ones
   * @param entries the announcements, in order of their change
   */
  public record Changes(boolean whole, List<Entry> entries) {
    /** Copies the entries. */
    public Changes {
      entries = List.copyOf(entries);
    }
  }

  /**
   * Notes a change.
   *
   * @param key key of the server in the store
   * @param value what it announces now, as text; empty where it names no server
   */
  public void put(String key, Optional<String> value) {
    Optional<Entry> last = Optional.ofNullable(entries.remove(key));
    removed -= isRemoved(last) ? 1 : 0;
    version++;
    Entry entry = new Entry(key, value, version);
    entries.put(key, entry);
    removed += isRemoved(Optional.of(entry)) ? 1 : 0;
    if (removed > MAX_REMOVED) {
      forgetRemoved();
    }
  }

  private static boolean isRemoved(Optional<Entry> entry) {
    return entry.filter(known -> known.value().isEmpty()).isPresent();
  }

  private void forgetRemoved() {
    entries.values().removeIf(entry -> entry.value().isEmpty());
    removed = 0;
    forgottenVersion = version;
  }

  /** Returns the number of the newest change. */
  public long version() {
    return version;
  }

  /**
   * Tells what changed.
   *
   * @param known number of the newest change that the other entry knows, 0 if it knows none
   * @return the later changes, or everything where it knows none or is too far behind
   */
  public Changes since(long known) {
    boolean whole = known <= 0 || known < forgottenVersion || known > version;
    List<Entry> changed = new ArrayList<>();
    for (Map.Entry<String, Entry> entry : entries.entrySet()) {
      Entry announcement = entry.getValue();
      if (whole ? announcement.value().isPresent() : announcement.version() > known) {
        changed.add(announcement);
      }
    }
    return new Changes(whole, changed);
  }
}
