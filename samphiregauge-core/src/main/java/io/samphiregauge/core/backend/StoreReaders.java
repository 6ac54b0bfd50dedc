package io.samphiregauge.core.backend;

import java.util.List;
import java.util.Optional;

/**
 * Selects the entries of a failure domain that read announcements from the store. The other entries
 * request them from these readers, because each call to the store is billed and counts towards a
 * rate limit that all entries share.
 */
public final class StoreReaders {
  /** Up to this number of entries, all entries of a failure domain read the store. */
  private static final int MAX_ALL_READERS = 4;

  /** Number of readers; two, so that if one fails the other is up to date. */
  private static final int READERS = 2;

  private StoreReaders() {}

  /**
   * Selects the reader from which an entry requests announcements.
   *
   * @param vms VMs of all entries of the failure domain, in the same order on all entries
   * @param self VM of the requesting entry
   * @param attempt number of the request; successive requests alternate between the readers
   * @return VM of the reader, or empty if the entry reads the store itself
   */
  public static Optional<String> readerFor(List<String> vms, String self, long attempt) {
    boolean isReader = vms.size() <= MAX_ALL_READERS || vms.subList(0, READERS).contains(self);
    return isReader ? Optional.empty() : Optional.of(vms.get(Math.floorMod(attempt, READERS)));
  }
}
