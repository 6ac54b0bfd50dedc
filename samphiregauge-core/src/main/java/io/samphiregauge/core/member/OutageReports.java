package io.samphiregauge.core.member;

import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.RandomSource;
import io.samphiregauge.core.Step;
import io.samphiregauge.schema.peer.OutageQuery;
import io.samphiregauge.schema.peer.OutageReport;
import io.samphiregauge.schema.record.Incarnation;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Determines whether a majority of the entries has no log contact; immutable. A process has log
 * contact if it reached the end of the log within the last {@link #CONTACT_TIMEOUT_MS}. While this
 * process has log contact itself, it sends no queries.
 *
 * <p>Reports are pulled, not pushed: the age of a report counts from the time its query was sent. A
 * report that waited in a socket buffer while this process was paused is therefore not mistaken for
 * a recent one. Ages count on the clock that advanced further, because the monotonic clock stops
 * while a VM is suspended.
 *
 * @param selfVm VM of this process
 * @param reportedAtByVm time of the newest report of missing log contact, by VM
 * @param pendingQueries send time of each unanswered query, by number
 * @param lastQueryNumber number of the last query sent
 * @param nextQueryMs time of the next queries
 */
public record OutageReports(
    String selfVm,
    Map<String, DualTimestamp> reportedAtByVm,
    Map<Long, DualTimestamp> pendingQueries,
    long lastQueryNumber,
    long nextQueryMs) {

  /** Age of the last log contact above which a process counts as having none. */
  public static final long CONTACT_TIMEOUT_MS = 2_000;

  /** Maximum age of a report that counts towards a majority. */
  public static final long REPORT_MAX_AGE_MS = 3_000;

  static final long QUERY_PERIOD_MS = 350;
  static final int QUERIES_PER_PERIOD = 2;

  /** Unit of the report ages in a message. */
  static final int AGE_UNIT_MS = 25;

  /** Age that encodes a missing report, or one older than the largest encodable age. */
  static final int NO_REPORT = 127;

  /**
   * State of this process with regard to the log.
   *
   * @param appliedOffset last folded offset, which determines the list of processes
   * @param processes processes that have not ended, ordered by VM
   * @param logContactAt time of this process's last log contact, or empty
   */
  public record LocalView(
      long appliedOffset, List<Incarnation> processes, Optional<DualTimestamp> logContactAt) {
    /** Copies the list. */
    public LocalView {
      processes = List.copyOf(processes);
    }

    boolean hasLogContact(DualTimestamp now) {
      return logContactAt.filter(at -> now.millisSince(at) <= CONTACT_TIMEOUT_MS).isPresent();
    }
  }

  /** Copies the maps. */
  public OutageReports {
    reportedAtByVm = Collections.unmodifiableMap(new TreeMap<>(reportedAtByVm));
    pendingQueries = Collections.unmodifiableMap(new TreeMap<>(pendingQueries));
  }

  /**
   * Creates the state of a process that has sent no query.
   *
   * @param self VM of the process
   * @return state without reports
   */
  public static OutageReports of(String self) {
    return new OutageReports(self, Map.of(), Map.of(), 0, Long.MIN_VALUE);
  }

  /**
   * Queries random members while this process has no log contact. With log contact, discards all
   * reports and pending queries.
   *
   * @param view log position and log contact of this process
   * @param live other members that are not dead
   * @param now current time
   * @param random source of randomness for choosing members
   * @return the next state, and the queries to send
   */
  public Step<OutageReports, MemberAction> tick(
      LocalView view, List<KnownMember> live, DualTimestamp now, RandomSource random) {
    if (view.hasLogContact(now)) {
      return Step.to(of(selfVm).withoutReports(lastQueryNumber));
    }
    if (now.monotonicMs() < nextQueryMs) {
      return Step.to(this);
    }
    List<KnownMember> candidates = new ArrayList<>(live);
    List<MemberAction> queries = new ArrayList<>();
    Map<Long, DualTimestamp> pending = new TreeMap<>(pendingQueries);
    pending.values().removeIf(sentAt -> now.millisSince(sentAt) > REPORT_MAX_AGE_MS);
    long nextNumber = lastQueryNumber;
    while (queries.size() < QUERIES_PER_PERIOD && !candidates.isEmpty()) {
      KnownMember target = candidates.remove(random.nextIndex(candidates.size()));
      nextNumber++;
      pending.put(nextNumber, now);
      queries.add(
          new MemberAction.Send(
              target.member().getPeerAddress(), new OutageQuery(nextNumber, view.appliedOffset())));
    }
    Map<String, DualTimestamp> reports = new TreeMap<>(reportedAtByVm);
    reports.put(selfVm, now);
    return new Step<>(
        new OutageReports(
            selfVm, reports, pending, nextNumber, now.monotonicMs() + QUERY_PERIOD_MS),
        queries);
  }

  /**
   * Builds the response to a query.
   *
   * @param query the query
   * @param sender this process
   * @param view log position and log contact of this process
   * @param now current time
   * @return ages of the reports held here, all {@code NO_REPORT} while this process has log contact
   */
  public OutageReport respond(
      OutageQuery query, Incarnation sender, LocalView view, DualTimestamp now) {
    List<Integer> ages = new ArrayList<>();
    for (Incarnation process : view.processes()) {
      ages.add(view.hasLogContact(now) ? NO_REPORT : reportAge(process.getVm(), now));
    }
    return new OutageReport(query.getNumber(), sender, view.appliedOffset(), ages);
  }

  private int reportAge(String vm, DualTimestamp now) {
    if (vm.equals(selfVm)) {
      return 0;
    }
    if (!reportedAtByVm.containsKey(vm)) {
      return NO_REPORT;
    }
    long ageMs = now.millisSince(reportedAtByVm.get(vm));
    return (int) Math.min(NO_REPORT, (ageMs + AGE_UNIT_MS - 1) / AGE_UNIT_MS);
  }

  /**
   * Merges a report. The ages in a report from a process at another offset refer to another process
   * list and are ignored.
   *
   * @param report the report
   * @param view log position and log contact of this process
   * @return the next state
   */
  public OutageReports withReport(OutageReport report, LocalView view) {
    if (!pendingQueries.containsKey(report.getNumber())) {
      return this;
    }
    Map<Long, DualTimestamp> pending = new TreeMap<>(pendingQueries);
    DualTimestamp sentAt = pending.remove(report.getNumber());
    Map<String, DualTimestamp> reports = new TreeMap<>(reportedAtByVm);
    boolean comparable =
        report.getAppliedOffset() == view.appliedOffset()
            && report.getAges().size() == view.processes().size();
    for (int i = 0; comparable && i < report.getAges().size(); i++) {
      int age = report.getAges().get(i);
      if (age < NO_REPORT) {
        DualTimestamp reportedAt = sentAt.minusMs((long) age * AGE_UNIT_MS);
        reports.merge(view.processes().get(i).getVm(), reportedAt, OutageReports::latest);
      }
    }
    return new OutageReports(selfVm, reports, pending, lastQueryNumber, nextQueryMs);
  }

  /**
   * Returns the latest time such that a majority of the processes had no log contact at that time
   * or later.
   *
   * @param view log position and log contact of this process
   * @param now current time
   * @return the oldest report time among the newest reports that form a majority, or empty if this
   *     process has log contact or fewer than a majority have a recent report
   */
  public Optional<DualTimestamp> majorityOutageAt(LocalView view, DualTimestamp now) {
    List<DualTimestamp> times = new ArrayList<>();
    for (Incarnation process : view.processes()) {
      DualTimestamp reportedAt = reportedAtByVm.getOrDefault(process.getVm(), DualTimestamp.NEVER);
      if (now.millisSince(reportedAt) <= REPORT_MAX_AGE_MS) {
        times.add(reportedAt);
      }
    }
    int majority = view.processes().size() / 2 + 1;
    if (view.hasLogContact(now) || times.size() < majority) {
      return Optional.empty();
    }
    times.sort(Comparator.comparingLong(now::millisSince));
    return Optional.of(times.get(majority - 1));
  }

  /**
   * Returns when the next queries are due.
   *
   * @param view log position and log contact of this process
   * @return time on the clock of the process
   */
  public long deadlineMs(LocalView view) {
    long contactTimeoutMs =
        view.logContactAt()
            .map(contactAt -> contactAt.monotonicMs() + CONTACT_TIMEOUT_MS + 1)
            .orElse(nextQueryMs);
    return Math.max(contactTimeoutMs, nextQueryMs);
  }

  private static DualTimestamp latest(DualTimestamp known, DualTimestamp candidate) {
    return candidate.millisSince(known) < 0 ? known : candidate;
  }

  private OutageReports withoutReports(long queryNumber) {
    return new OutageReports(selfVm, Map.of(), Map.of(), queryNumber, Long.MIN_VALUE);
  }
}
