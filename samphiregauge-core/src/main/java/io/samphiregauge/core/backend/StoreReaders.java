package io.samphiregauge.core.backend;

import java.util.List;
import java.util.Optional;

/**
 * Decides which entries of a failure domain read the announcements from the store. The others ask
 * these; each call to the store is paid for and its rate is shared by all entries.
 */
public final class StoreReaders {
  /** Up to this number of entries in a failure domain, each one reads the store itself. */
  private static final int MAX_ALL_READERS = 4;

  /** Two, so that the loss of one leaves another one that is up to date. */
  private static final int READERS = 2;

  private StoreReaders() {}

  /**
   * Finds the entries that an entry asks.
   *
   * @param vms VMs of all entries of the failure domain, in an order on which they agree
   * @param self VM of the entry
   * @param attempt number of the question, which goes to one reader after the other
   * @return the VM to ask, or empty where the entry reads the store itself
   */
  public static Optional<String> readerFor(List<String> vms, String self, long attempt) {
    boolean isReader = vms.size() <= MAX_ALL_READERS || vms.subList(0, READERS).contains(self);
    return isReader ? Optional.empty() : Optional.of(vms.get(Math.floorMod(attempt, READERS)));
  }
}
