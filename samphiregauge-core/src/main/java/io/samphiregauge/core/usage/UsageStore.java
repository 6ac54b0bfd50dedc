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
 * Usage that this process counted, and copies of what others counted; immutable.
 *
 * <p>A copy counts only once its owner has ended in the log: until then the owner itself answers,
 * so that no figure is counted both from the owner and from a copy.
 *
 * @param region region of the process
 * @param self the process
 * @param ownCounters own counters
 * @param changed own counters that changed since the last copy
 * @param copyNumber number of the last copy
 * @param copyVm VM that the last copy went to, or empty
 * @param copies counters of other processes
 * @param closedWindow newest window that was answered; its counters change no more, so that a
 *     repeated answer is the same
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

  /** Length of a usage window. */
  public static final long WINDOW_MS = 60_000;

  /** Time between copies, and so the most usage that the loss of a VM loses. */
  public static final long COPY_INTERVAL_MS = 1_000;

  /** A counter that a copy must carry. */
  record ChangedCounter(long window, Figures.Key key) {}

  /** Copies the collections. */
  public UsageStore {
    changed = Set.copyOf(changed);
    copies = Collections.unmodifiableMap(new LinkedHashMap<>(copies));
  }

  /**
   * Makes the ledger of a process that has counted nothing.
   *
   * @param region region of the process
   * @param self the process
   * @return an empty ledger
   */
  public static UsageStore of(String region, Incarnation self) {
    return new UsageStore(
        region, self, Counters.none(), Set.of(), 0, Optional.empty(), Map.of(), Long.MIN_VALUE);
  }

  /**
   * Finds the window of a time.
   *
   * @param wallMs time of day in milliseconds since 1970
   * @return number of the window
   */
  public static long windowAt(long wallMs) {
    return Math.floorDiv(wallMs, WINDOW_MS);
  }

  /**
   * Counts usage; a window that was answered is closed, and the next one takes it.
   *
   * @param window window in which the request finished
   * @param used what it used
   * @return the next ledger
   */
  public UsageStore count(long window, UsageFigure used) {
    return add(closedWindow < window ? window : closedWindow + 1, used);
  }

  private UsageStore add(long window, UsageFigure used) {
    Set<ChangedCounter> more = new HashSet<>(changed);
    more.add(new ChangedCounter(window, Figures.Key.of(used)));
    return new UsageStore(
        region,
        self,
        ownCounters.plus(window, used),
        more,
        copyNumber,
        copyVm,
        copies,
        closedWindow);
  }

  /**
   * Makes the next copy, with what changed; all counters for a VM that has none of them.
   *
   * @param vm VM in another failure domain
   * @return the next ledger, and the copy where there is anything to copy
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
   * Takes a copy of another process.
   *
   * @param copy the copy
   * @return the next ledger
   */
  public UsageStore mergeCopy(UsageCopy copy) {
    Map<Incarnation, Counters> next = new LinkedHashMap<>(copies);
    Counters current = next.getOrDefault(copy.getOwner(), Counters.none());
    next.put(copy.getOwner(), current.mergeMax(copy.getCounters()));
    return new UsageStore(
        region, self, ownCounters, changed, copyNumber, copyVm, next, closedWindow);
  }

  /**
   * Answers the collection of a window, with what earlier windows were sealed without.
   *
   * @param query the window
   * @param state folded state
   * @return the next ledger, and own counters with copies of processes that have ended
   */
  public Step<UsageStore, UsageAnswer> respond(UsageQuery query, FoldedState state) {
    List<UsageCopy> responses = new ArrayList<>();
    responses.add(selectCounters(self, ownCounters, query.getWindow(), state));
    copies.forEach(
        (owner, counters) -> {
          if (state.hasEnded(owner)) {
            responses.add(selectCounters(owner, counters, query.getWindow(), state));
          }
        });
    long closed = Math.max(closedWindow, query.getWindow());
    UsageStore next =
        new UsageStore(region, self, ownCounters, changed, copyNumber, copyVm, copies, closed);
    return Step.to(next, new UsageAnswer(query.getWindow(), responses));
  }

  private UsageCopy selectCounters(
      Incarnation owner, Counters counters, long window, FoldedState state) {
    return new UsageCopy(
        owner,
        copyNumber,
        counters.toList(
            w -> w == window || state.missingUsage().contains(new MissingUsage(region, w, owner))));
  }

  /**
   * Drops what a sealed window contains.
   *
   * @param sealed accepted seal
   * @return the next ledger
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

  /** Counters of a window for which this process was not asked go to the next window. */
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
