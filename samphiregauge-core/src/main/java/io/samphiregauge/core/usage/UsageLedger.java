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
 * @param own own counters
 * @param changed own counters that changed since the last copy
 * @param number number of the last copy
 * @param copyVm VM that the last copy went to, or empty
 * @param copies counters of other processes
 * @param closedWindow newest window that was answered; its counters change no more, so that a
 *     repeated answer is the same
 */
public record UsageLedger(
    String region,
    Incarnation self,
    Counters own,
    Set<Changed> changed,
    long number,
    Optional<String> copyVm,
    Map<Incarnation, Counters> copies,
    long closedWindow) {

  /** Length of a usage window. */
  public static final long WINDOW_MS = 60_000;

  /** Time between copies, and so the most usage that the loss of a VM loses. */
  public static final long COPY_PERIOD_MS = 1_000;

  /** A counter that a copy must carry. */
  record Changed(long window, Figures.Key key) {}

  /** Copies the collections. */
  public UsageLedger {
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
  public static UsageLedger of(String region, Incarnation self) {
    return new UsageLedger(
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
  public UsageLedger count(long window, UsageFigure used) {
    return add(closedWindow < window ? window : closedWindow + 1, used);
  }

  private UsageLedger add(long window, UsageFigure used) {
    Set<Changed> more = new HashSet<>(changed);
    more.add(new Changed(window, Figures.Key.of(used)));
    return new UsageLedger(
        region, self, own.plus(window, used), more, number, copyVm, copies, closedWindow);
  }

  /**
   * Makes the next copy, with what changed; all counters for a VM that has none of them.
   *
   * @param vm VM in another failure domain
   * @return the next ledger, and the copy where there is anything to copy
   */
  public Step<UsageLedger, UsageCopy> copyTo(String vm) {
    boolean samePeer = copyVm.filter(vm::equals).isPresent();
    List<UsageCounter> counters = samePeer ? changedCounters() : own.toList(window -> true);
    Optional<String> peer = Optional.of(vm);
    if (counters.isEmpty()) {
      return Step.to(
          new UsageLedger(region, self, own, Set.of(), number, peer, copies, closedWindow));
    }
    UsageLedger next =
        new UsageLedger(region, self, own, Set.of(), number + 1, peer, copies, closedWindow);
    return Step.to(next, new UsageCopy(self, number + 1, counters));
  }

  private List<UsageCounter> changedCounters() {
    List<UsageCounter> counters = new ArrayList<>();
    for (Changed one : changed) {
      own.window(one.window())
          .find(one.key())
          .ifPresent(figure -> counters.add(new UsageCounter(one.window(), figure)));
    }
    return counters;
  }

  /**
   * Takes a copy of another process.
   *
   * @param copy the copy
   * @return the next ledger
   */
  public UsageLedger received(UsageCopy copy) {
    Map<Incarnation, Counters> next = new LinkedHashMap<>(copies);
    Counters held = next.getOrDefault(copy.getOwner(), Counters.none());
    next.put(copy.getOwner(), held.newest(copy.getCounters()));
    return new UsageLedger(region, self, own, changed, number, copyVm, next, closedWindow);
  }

  /**
   * Answers the collection of a window, with what earlier windows were sealed without.
   *
   * @param query the window
   * @param state folded state
   * @return the next ledger, and own counters with copies of processes that have ended
   */
  public Step<UsageLedger, UsageAnswer> answer(UsageQuery query, FoldedState state) {
    List<UsageCopy> answers = new ArrayList<>();
    answers.add(select(self, own, query.getWindow(), state));
    copies.forEach(
        (owner, counters) -> {
          if (state.hasEnded(owner)) {
            answers.add(select(owner, counters, query.getWindow(), state));
          }
        });
    long closed = Math.max(closedWindow, query.getWindow());
    UsageLedger next = new UsageLedger(region, self, own, changed, number, copyVm, copies, closed);
    return Step.to(next, new UsageAnswer(query.getWindow(), answers));
  }

  private UsageCopy select(Incarnation owner, Counters counters, long window, FoldedState state) {
    return new UsageCopy(
        owner,
        number,
        counters.toList(
            w -> w == window || state.missingUsage().contains(new MissingUsage(region, w, owner))));
  }

  /**
   * Drops what a sealed window contains.
   *
   * @param sealed accepted seal
   * @return the next ledger
   */
  public UsageLedger sealed(UsageSealed sealed) {
    if (!sealed.getRegion().equals(region)) {
      return this;
    }
    List<MissingUsage> missing = sealed.getMissing().orElse(List.of());
    boolean awaited = missing.contains(new MissingUsage(region, sealed.getWindow(), self));
    boolean asked = awaited || closedWindow >= sealed.getWindow();
    UsageLedger next = asked ? this : moved(sealed.getWindow());
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
  private UsageLedger moved(long window) {
    UsageLedger next = new UsageLedger(region, self, own, changed, number, copyVm, copies, window);
    for (UsageFigure figure : own.window(window).toList()) {
      next = next.add(window + 1, figure);
    }
    return next.without(self, window);
  }

  private UsageLedger without(Incarnation owner, long window) {
    if (owner.equals(self)) {
      return new UsageLedger(
          region, self, own.without(window), changed, number, copyVm, copies, closedWindow);
    }
    Map<Incarnation, Counters> next = new LinkedHashMap<>(copies);
    next.computeIfPresent(owner, (o, counters) -> counters.without(window));
    next.values().removeIf(counters -> counters.byWindow().isEmpty());
    return new UsageLedger(region, self, own, changed, number, copyVm, next, closedWindow);
  }
}
