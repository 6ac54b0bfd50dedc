package io.samphiregauge.core.stream;

import io.samphiregauge.core.StorePosition;
import io.samphiregauge.core.backend.BackendServer;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Decides which software versions an entry may use, from a register that lists the versions of each
 * service. Not thread-safe; the caller provides the time and performs the reads and writes.
 *
 * <p>An entry lists a version before it sends the first request there, or finds it listed and lists
 * it again, so that no other entry removes it. So a register that lists a single version of a
 * service proves that this version began every stream of the service. The store may lose listings
 * when it is restored; the proof then holds again after {@link #SETTLE_MS}.
 */
public final class VersionLedger {
  /**
   * Time after which no stream of a version that has gone can be resumed any more, in milliseconds.
   * Streams and their retries last up to 8 s on the known deployments, and servers run on for
   * seconds after their announcement is removed.
   */
  public static final long SETTLE_MS = 30_000;

  /** Age up to which a read of the register shows that a version is listed, in milliseconds. */
  private static final long FRESH_MS = 2_000;

  private final Set<ServiceVersion> present = new HashSet<>();
  private final Set<ServiceVersion> usable = new HashSet<>();
  private final Set<ServiceVersion> listed = new HashSet<>();
  private final Map<ServiceVersion, Long> absentSinceMs = new HashMap<>();
  private Optional<Snapshot> snapshot = Optional.empty();
  private long snapshotAtMs;
  private long era = StorePosition.FIRST_ERA;
  private long eraSinceMs;

  /**
   * The register as read from the store.
   *
   * @param versions the listed versions
   * @param settledEra newest era whose listings are complete, if any
   * @param position end of the register
   */
  public record Snapshot(
      Set<ServiceVersion> versions, OptionalLong settledEra, StorePosition position) {
    /** Creates a snapshot with an immutable copy of the versions. */
    public Snapshot {
      versions = Set.copyOf(versions);
    }

    /** Returns whether no listing of the present era is missing. */
    public boolean isComplete() {
      return settledEra.isPresent() && settledEra.getAsLong() == position.era();
    }

    /**
     * Returns the version that began all streams of a service that can still be resumed.
     *
     * @param service name of the service
     * @return the version, or empty if there are several or it is not certain
     */
    public Optional<String> onlyVersion(String service) {
      List<String> found =
          versions.stream()
              .filter(version -> version.service().equals(service))
              .map(ServiceVersion::version)
              .toList();
      return isComplete() && found.size() == 1 ? Optional.of(found.get(0)) : Optional.empty();
    }
  }

  /**
   * A conditional write that keeps the register up to date.
   *
   * @param settledEra era whose listings are complete now, if that is new
   * @param retired versions to remove
   * @param expected end of the register for which the write may succeed
   */
  public record Update(
      OptionalLong settledEra, Set<ServiceVersion> retired, StorePosition expected) {}

  /**
   * Creates the ledger of a process that has not read the register.
   *
   * @param nowMs monotonic time in milliseconds
   */
  public VersionLedger(long nowMs) {
    eraSinceMs = nowMs;
  }

  /**
   * Replaces the announced servers, including those that drain.
   *
   * @param servers the servers
   * @param nowMs monotonic time in milliseconds
   */
  public void onServers(Collection<BackendServer> servers, long nowMs) {
    Set<ServiceVersion> announced = new HashSet<>();
    servers.forEach(server -> announced.add(ServiceVersion.of(server)));
    present.stream()
        .filter(version -> !announced.contains(version))
        .forEach(version -> absentSinceMs.put(version, nowMs));
    present.clear();
    present.addAll(announced);
    // A version that comes back is listed again, because its listing may have been removed.
    usable.retainAll(present);
    listed.retainAll(present);
    useListed(nowMs);
  }

  /**
   * Makes present versions usable that the register has just shown, before the own listing is
   * stored. Else an entry that starts would refuse requests until then.
   */
  private void useListed(long nowMs) {
    currentSnapshot()
        .filter(known -> nowMs - snapshotAtMs <= FRESH_MS)
        .ifPresent(
            known -> present.stream().filter(known.versions()::contains).forEach(usable::add));
  }

  /**
   * Handles the era in an answer of the store. After a restore all present versions are listed
   * again; they stay usable meanwhile, because no register counts as complete until then.
   *
   * @param newEra era of the store
   * @param nowMs monotonic time in milliseconds
   */
  public void onEra(long newEra, long nowMs) {
    if (newEra > era) {
      era = newEra;
      eraSinceMs = nowMs;
      listed.clear();
    }
  }

  /** Returns the present versions that this process has not listed in the present era. */
  public Set<ServiceVersion> unlisted() {
    Set<ServiceVersion> missing = new HashSet<>(present);
    missing.removeAll(listed);
    return missing;
  }

  /**
   * Records that the store has accepted listings.
   *
   * @param versions the listed versions
   * @param acceptedEra era in which the store accepted them
   */
  public void onListed(Set<ServiceVersion> versions, long acceptedEra) {
    if (acceptedEra < era) {
      return;
    }
    versions.stream().filter(present::contains).forEach(listed::add);
    usable.addAll(listed);
  }

  /**
   * Records the register, unless it was read before a restore.
   *
   * @param read the register
   * @param nowMs monotonic time in milliseconds
   */
  public void onSnapshot(Snapshot read, long nowMs) {
    if (read.position().era() >= era) {
      snapshot = Optional.of(read);
      snapshotAtMs = nowMs;
      useListed(nowMs);
    }
  }

  /** Returns whether the register was never written, so that the first listings complete it. */
  public boolean isUnwritten() {
    return currentSnapshot().filter(known -> known.position().isBeforeAnyRecord()).isPresent();
  }

  /** Returns whether requests may be sent to a server. */
  public boolean mayUse(BackendServer server) {
    return usable.contains(ServiceVersion.of(server));
  }

  /**
   * Returns whether the version of a stream cannot be told from the register, so that the origin of
   * each stream must be recorded.
   *
   * @param service name of the service
   */
  public boolean isMixed(String service) {
    return currentSnapshot().flatMap(known -> known.onlyVersion(service)).isEmpty();
  }

  private Optional<Snapshot> currentSnapshot() {
    return snapshot.filter(known -> known.position().era() == era);
  }

  /** Returns whether the register will need an update, or may change with one by another entry. */
  public boolean needsRefresh() {
    return present.stream().anyMatch(version -> isMixed(version.service()));
  }

  /**
   * Prepares a write that marks the listings of the era as complete, or removes versions that no
   * stream can be bound to any more.
   *
   * @param nowMs monotonic time in milliseconds
   * @return the write, or empty if nothing is due
   */
  public Optional<Update> prepareUpdate(long nowMs) {
    if (nowMs - eraSinceMs < SETTLE_MS) {
      return Optional.empty();
    }
    return currentSnapshot().flatMap(known -> prepareUpdate(known, nowMs));
  }

  private Optional<Update> prepareUpdate(Snapshot known, long nowMs) {
    OptionalLong settledEra = known.isComplete() ? OptionalLong.empty() : OptionalLong.of(era);
    Set<ServiceVersion> retired = new HashSet<>(known.versions());
    retired.removeIf(version -> !isRetired(version, nowMs));
    return settledEra.isEmpty() && retired.isEmpty()
        ? Optional.empty()
        : Optional.of(new Update(settledEra, Set.copyOf(retired), known.position()));
  }

  /** Returns whether a version has been absent for so long; others have listed unknown ones. */
  private boolean isRetired(ServiceVersion version, long nowMs) {
    return !present.contains(version)
        && nowMs - absentSinceMs.getOrDefault(version, eraSinceMs) >= SETTLE_MS;
  }
}
