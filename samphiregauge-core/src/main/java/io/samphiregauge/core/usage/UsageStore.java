package io.samphiregauge.core.usage;

import io.samphiregauge.core.Step;
import io.samphiregauge.core.log.FoldedState;
import io.samphiregauge.schema.peer.UsageAnswer;
import io.samphiregauge.schema.peer.UsageCopy;
import io.samphiregauge.schema.peer.UsageCounter;
import io.samphiregauge.schema.peer.UsageQuery;
import io.samphiregauge.schema.record.Incarnation;
import io.samphiregauge.schema.record.MissingUsage;
import io.samphiregauge.schema.record.UsageFigure;
import io.samphiregauge.schema.record.UsageSealed;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Stores the usage counters of this process and copies of the counters of other processes;
 * immutable.
 *
 * <p>A copy is used only after the log has recorded the end of its owner. Until then only the owner
 * itself responds to queries, so that no usage is counted twice.
 *
 * @param region region of this process
 * @param self incarnation of this process
 * @param ownCounters counters of this process
 * @param changed counters of this process that changed since the last copy
 * @param copyNumber sequence number of the last copy
 * @param copyVm VM that the last copy was sent to, or empty
 * @param copies counters of other processes
 * @param closedWindow newest window for which a query was answered; its counters no longer change,
 *     so that a repeated query returns the same values
 */
public record UsageStore(
    String region,
    Incarnation self,
    Counters ownCounters,
    Set<ChangedCounter> changed,
    long copyNumber,
    Optional<String> copyVm,
    Map<Incarnation, Counters> copies,
    long closedWindow) {

  /** Length of a usage window, in milliseconds. */
  public static final long WINDOW_MS = 60_000;

  /** Interval between copies, which bounds the usage that is lost if a VM fails. */
  public static final long COPY_INTERVAL_MS = 1_000;

  /** Identifies a counter that the next copy must include. */
  record ChangedCounter(long window, Figures.Key key) {}

  /** Makes defensive copies of the collections. */
  public UsageStore {
    changed = Set.copyOf(changed);
    copies = Collections.unmodifiableMap(new LinkedHashMap<>(copies));
  }

  /**
   * Creates the store of a new process.
   *
   * @param region region of the process
   * @param self incarnation of the process
   * @return an empty store
   */
  public static UsageStore of(String region, Incarnation self) {
    return new UsageStore(
        region, self, Counters.none(), Set.of(), 0, Optional.empty(), Map.of(), Long.MIN_VALUE);
  }

  /**
   * Returns the window that contains a time.
   *
   * @param wallMs wall-clock time in milliseconds since the epoch
   * @return number of the window
   */
  public static long windowAt(long wallMs) {
    return Math.floorDiv(wallMs, WINDOW_MS);
  }

  /**
   * Counts the usage of a request. If the window is already closed, the usage is counted in the
   * first window after the closed one.
   *
   * @param window number of the window in which the request finished
   * @param used usage of the request
   * @return the next store
   */
  public UsageStore count(long window, UsageFigure used) {
    return add(closedWindow < window ? window : closedWindow + 1, used);
  }

  private UsageStore add(long window, UsageFigure used) {
    Set<ChangedCounter> nextChanged = new HashSet<>(changed);
    nextChanged.add(new ChangedCounter(window, Figures.Key.of(used)));
    return new UsageStore(
        region,
        self,
        ownCounters.plus(window, used),
        nextChanged,
        copyNumber,
        copyVm,
        copies,
        closedWindow);
  }

  /**
   * Creates the next copy of the counters of this process. The copy contains the changed counters
   * if it goes to the same VM as the last one, and all counters otherwise.
   *
   * @param vm destination VM, in another failure domain
   * @return the next store, and the copy if there is anything to copy
   */
  public Step<UsageStore, UsageCopy> copyTo(String vm) {
    boolean samePeer = copyVm.filter(vm::equals).isPresent();
    List<UsageCounter> counters = samePeer ? changedCounters() : ownCounters.toList(window -> true);
    Optional<String> peer = Optional.of(vm);
    if (counters.isEmpty()) {
      return Step.to(
          new UsageStore(
              region, self, ownCounters, Set.of(), copyNumber, peer, copies, closedWindow));
    }
    UsageStore next =
        new UsageStore(
            region, self, ownCounters, Set.of(), copyNumber + 1, peer, copies, closedWindow);
    return Step.to(next, new UsageCopy(self, copyNumber + 1, counters));
  }

  private List<UsageCounter> changedCounters() {
    List<UsageCounter> counters = new ArrayList<>();
    for (ChangedCounter changedCounter : changed) {
      ownCounters
          .window(changedCounter.window())
          .find(changedCounter.key())
          .ifPresent(figure -> counters.add(new UsageCounter(changedCounter.window(), figure)));
    }
    return counters;
  }

  /**
   * Merges a copy of the counters of another process.
   *
   * @param copy the copy
   * @return the next store
   */
  public UsageStore mergeCopy(UsageCopy copy) {
    Map<Incarnation, Counters> next = new LinkedHashMap<>(copies);
    Counters current = next.getOrDefault(copy.getOwner(), Counters.none());
    next.put(copy.getOwner(), current.mergeMax(copy.getCounters()));
    return new UsageStore(
        region, self, ownCounters, changed, copyNumber, copyVm, next, closedWindow);
  }

  /**
   * Responds to a query for the counters of a window, and closes the window. The response also
   * contains counters of earlier windows that were sealed without them.
   *
   * @param query query for a window
   * @param state current folded state
   * @return the next store, and the response with the counters of this process and of processes
   *     that have ended
   */
  public Step<UsageStore, UsageAnswer> respond(UsageQuery query, FoldedState state) {
    List<UsageCopy> included = new ArrayList<>();
    included.add(createCopy(self, ownCounters, query.getWindow(), state));
    copies.forEach(
        (owner, counters) -> {
          if (state.hasEnded(owner)) {
            included.add(createCopy(owner, counters, query.getWindow(), state));
          }
        });
    long closed = Math.max(closedWindow, query.getWindow());
    UsageStore next =
        new UsageStore(region, self, ownCounters, changed, copyNumber, copyVm, copies, closed);
    return Step.to(next, new UsageAnswer(query.getWindow(), included));
  }

  /** Copies the counters of a window, and those that earlier seals of the region lack. */
  private UsageCopy createCopy(
      Incarnation owner, Counters counters, long window, FoldedState state) {
    return new UsageCopy(
        owner,
        copyNumber,
        counters.toList(
            w -> w == window || state.missingUsage().contains(new MissingUsage(region, w, owner))));
  }

  /**
   * Removes the counters that a seal includes. If this process was not queried for the window, its
   * counters of the window are carried over to the next one.
   *
   * @param sealed accepted seal
   * @return the next store
   */
  public UsageStore applySeal(UsageSealed sealed) {
    if (!sealed.getRegion().equals(region)) {
      return this;
    }
    List<MissingUsage> missing = sealed.getMissing().orElse(List.of());
    boolean ownMissing = missing.contains(new MissingUsage(region, sealed.getWindow(), self));
    boolean queried = ownMissing || closedWindow >= sealed.getWindow();
    UsageStore next = queried ? this : carryOver(sealed.getWindow());
    Set<Incarnation> owners = new HashSet<>(copies.keySet());
    owners.add(self);
    for (Incarnation owner : owners) {
      if (!missing.contains(new MissingUsage(region, sealed.getWindow(), owner))) {
        next = next.without(owner, sealed.getWindow());
      }
    }
    for (MissingUsage corrected : sealed.getCorrected().orElse(List.of())) {
      next = next.without(corrected.getOwner(), corrected.getWindow());
    }
    return next;
  }

  /** Moves the counters of a window for which this process was not queried to the next window. */
  private UsageStore carryOver(long window) {
    UsageStore next =
        new UsageStore(region, self, ownCounters, changed, copyNumber, copyVm, copies, window);
    for (UsageFigure figure : ownCounters.window(window).toList()) {
      next = next.add(window + 1, figure);
    }
    return next.without(self, window);
  }

  private UsageStore without(Incarnation owner, long window) {
    if (owner.equals(self)) {
      return new UsageStore(
          region,
          self,
          ownCounters.without(window),
          changed,
          copyNumber,
          copyVm,
          copies,
          closedWindow);
    }
    Map<Incarnation, Counters> next = new LinkedHashMap<>(copies);
    next.computeIfPresent(owner, (o, counters) -> counters.without(window));
    next.values().removeIf(counters -> counters.byWindow().isEmpty());
    return new UsageStore(
        region, self, ownCounters, changed, copyNumber, copyVm, next, closedWindow);
  }
}
