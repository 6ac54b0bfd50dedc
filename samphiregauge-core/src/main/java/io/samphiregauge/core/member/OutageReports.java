package io.samphiregauge.core.member;

import io.samphiregauge.core.RandomSource;
import io.samphiregauge.core.Step;
import io.samphiregauge.schema.peer.OutageQuery;
import io.samphiregauge.schema.peer.OutageReport;
import io.samphiregauge.schema.record.Incarnation;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * Determines whether a majority of the entries has no log contact; immutable. A process has log
 * contact if it reached the end of the log within the last {@link #CONTACT_TIMEOUT_MS}. While this
 * process has log contact itself, it sends no queries.
 *
 * <p>Reports are pulled, not pushed: the age of a report counts from the time its query was sent. A
 * report that waited in a socket buffer while this process was paused is therefore not mistaken for
 * a recent one.
 *
 * @param selfVm VM of this process
 * @param reportMsByVm time of the newest report of missing log contact, by VM
 * @param pendingQueries send time of each unanswered query, by number
 * @param lastQueryNumber number of the last query sent
 * @param nextQueryMs time of the next queries
 */
public record OutageReports(
    String selfVm,
    Map<String, Long> reportMsByVm,
    Map<Long, Long> pendingQueries,
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
   * @param logContactMs time of this process's last log contact, or empty
   */
  public record LocalView(
      long appliedOffset, List<Incarnation> processes, OptionalLong logContactMs) {
    /** Copies the list. */
    public LocalView {
      processes = List.copyOf(processes);
    }

    boolean hasLogContact(long nowMs) {
      return logContactMs.isPresent() && nowMs - logContactMs.getAsLong() <= CONTACT_TIMEOUT_MS;
    }
  }

  /** Copies the maps. */
  public OutageReports {
    reportMsByVm = Collections.unmodifiableMap(new TreeMap<>(reportMsByVm));
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
   * @param nowMs current time
   * @param random source of randomness for choosing members
   * @return the next state, and the queries to send
   */
  public Step<OutageReports, MemberAction> tick(
      LocalView view, List<KnownMember> live, long nowMs, RandomSource random) {
    if (view.hasLogContact(nowMs)) {
      return Step.to(of(selfVm).withoutReports(lastQueryNumber));
    }
    if (nowMs < nextQueryMs) {
      return Step.to(this);
    }
    List<KnownMember> candidates = new ArrayList<>(live);
    List<MemberAction> queries = new ArrayList<>();
    Map<Long, Long> pending = new TreeMap<>(pendingQueries);
    pending.values().removeIf(sentMs -> nowMs - sentMs > REPORT_MAX_AGE_MS);
    long nextNumber = lastQueryNumber;
    while (queries.size() < QUERIES_PER_PERIOD && !candidates.isEmpty()) {
      KnownMember target = candidates.remove(random.nextIndex(candidates.size()));
      nextNumber++;
      pending.put(nextNumber, nowMs);
      queries.add(
          new MemberAction.Send(
              target.member().getPeerAddress(), new OutageQuery(nextNumber, view.appliedOffset())));
    }
    Map<String, Long> reports = new TreeMap<>(reportMsByVm);
    reports.put(selfVm, nowMs);
    return new Step<>(
        new OutageReports(selfVm, reports, pending, nextNumber, nowMs + QUERY_PERIOD_MS), queries);
  }

  /**
   * Builds the response to a query.
   *
   * @param query the query
   * @param sender this process
   * @param view log position and log contact of this process
   * @param nowMs current time
   * @return ages of the reports held here, all {@code NO_REPORT} while this process has log contact
   */
  public OutageReport respond(OutageQuery query, Incarnation sender, LocalView view, long nowMs) {
    List<Integer> ages = new ArrayList<>();
    for (Incarnation process : view.processes()) {
      ages.add(view.hasLogContact(nowMs) ? NO_REPORT : reportAge(process.getVm(), nowMs));
    }
    return new OutageReport(query.getNumber(), sender, view.appliedOffset(), ages);
  }

  private int reportAge(String vm, long nowMs) {
    if (vm.equals(selfVm)) {
      return 0;
    }
    if (!reportMsByVm.containsKey(vm)) {
      return NO_REPORT;
    }
    long ageMs = nowMs - reportMsByVm.get(vm);
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
    Map<Long, Long> pending = new TreeMap<>(pendingQueries);
    long sentMs = pending.remove(report.getNumber());
    Map<String, Long> reports = new TreeMap<>(reportMsByVm);
    boolean comparable =
        report.getAppliedOffset() == view.appliedOffset()
            && report.getAges().size() == view.processes().size();
    for (int i = 0; comparable && i < report.getAges().size(); i++) {
      int age = report.getAges().get(i);
      if (age < NO_REPORT) {
        long reportMs = sentMs - (long) age * AGE_UNIT_MS;
        reports.merge(view.processes().get(i).getVm(), reportMs, Math::max);
      }
    }
    return new OutageReports(selfVm, reports, pending, lastQueryNumber, nextQueryMs);
  }

  /**
   * Returns the latest time such that a majority of the processes had no log contact at that time
   * or later.
   *
   * @param view log position and log contact of this process
   * @param nowMs current time
   * @return the oldest report time among the newest reports that form a majority, or empty if this
   *     process has log contact or fewer than a majority have a recent report
   */
  public OptionalLong majorityOutageMs(LocalView view, long nowMs) {
    List<Long> times = new ArrayList<>();
    for (Incarnation process : view.processes()) {
      long reportMs = reportMsByVm.getOrDefault(process.getVm(), Long.MIN_VALUE);
      if (reportMs >= nowMs - REPORT_MAX_AGE_MS) {
        times.add(reportMs);
      }
    }
    int majority = view.processes().size() / 2 + 1;
    if (view.hasLogContact(nowMs) || times.size() < majority) {
      return OptionalLong.empty();
    }
    times.sort(Collections.reverseOrder());
    return OptionalLong.of(times.get(majority - 1));
  }

  /**
   * Returns when the next queries are due.
   *
   * @param view log position and log contact of this process
   * @return time on the clock of the process
   */
  public long deadlineMs(LocalView view) {
    OptionalLong logContactMs = view.logContactMs();
    long contactTimeoutMs =
        logContactMs.isPresent() ? logContactMs.getAsLong() + CONTACT_TIMEOUT_MS + 1 : nextQueryMs;
    return Math.max(contactTimeoutMs, nextQueryMs);
  }

  private OutageReports withoutReports(long queryNumber) {
    return new OutageReports(selfVm, Map.of(), Map.of(), queryNumber, Long.MIN_VALUE);
  }
}
