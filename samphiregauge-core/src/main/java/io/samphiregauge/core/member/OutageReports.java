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
 * Finds out whether a majority of the entries has no log contact; immutable. While this process has
 * contact it asks nobody.
 *
 * <p>Reports are asked for, not sent unasked: an answer counts from before its question, so one
 * that lay in a socket while this process was paused is not taken for new.
 *
 * @param selfVm VM of this process
 * @param reportMsByVm time of the newest report of no contact, by VM
 * @param pendingQueries times of the open questions, by number
 * @param lastQueryNumber number of the newest question
 * @param nextQueryMs time of the next questions
 */
public record OutageReports(
    String selfVm,
    Map<String, Long> reportMsByVm,
    Map<Long, Long> pendingQueries,
    long lastQueryNumber,
    long nextQueryMs) {

  /** Age of the last contact from which on a member counts as one without. */
  public static final long CONTACT_TIMEOUT_MS = 2_000;

  /** Longest age of a report that counts. */
  public static final long REPORT_MAX_AGE_MS = 3_000;

  static final long QUERY_PERIOD_MS = 350;
  static final int QUERIES_PER_PERIOD = 2;
  static final int AGE_UNIT_MS = 25;
  static final int NO_REPORT = 127;

  /**
   * What the reports are compared with.
   *
   * @param appliedOffset last folded offset; it decides the list of processes
   * @param processes processes that have not ended, in order of VM
   * @param logContactMs time of the last own log contact, or empty
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
   * Makes the state of a process that has asked nobody.
   *
   * @param self VM of the process
   * @return no reports
   */
  public static OutageReports of(String self) {
    return new OutageReports(self, Map.of(), Map.of(), 0, Long.MIN_VALUE);
  }

  /**
   * Asks members where this process has no log contact.
   *
   * @param view what is known
   * @param live other members that are not dead
   * @param nowMs current time
   * @param random chooses the members
   * @return the next state, and the questions
   */
  public Step<OutageReports, MemberAction> tick(
      LocalView view, List<KnownMember> live, long nowMs, RandomSource random) {
    if (view.hasLogContact(nowMs)) {
      return Step.to(of(selfVm).reset(lastQueryNumber));
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
   * Answers a question.
   *
   * @param query the question
   * @param sender this process
   * @param view what is known
   * @param nowMs current time
   * @return the ages of all reports that this process has; none while it has log contact itself
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
   * Takes an answer. One from a process with another offset stands for another list and is ignored.
   *
   * @param report the answer
   * @param view what is known
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
   * Tells how old the knowledge is that a majority has no log contact.
   *
   * @param view what is known
   * @param nowMs current time
   * @return time of the oldest report in the newest majority, or empty without a majority
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
   * Tells when the next questions are due.
   *
   * @param view what is known
   * @return the time
   */
  public long deadlineMs(LocalView view) {
    OptionalLong logContactMs = view.logContactMs();
    long contactTimeoutMs =
        logContactMs.isPresent() ? logContactMs.getAsLong() + CONTACT_TIMEOUT_MS + 1 : nextQueryMs;
    return Math.max(contactTimeoutMs, nextQueryMs);
  }

  private OutageReports reset(long last) {
    return new OutageReports(selfVm, Map.of(), Map.of(), last, Long.MIN_VALUE);
  }
}
