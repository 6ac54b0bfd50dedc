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
 * @param self VM of this process
 * @param reportsMs time of the newest report of no contact, by VM
 * @param asked times of the open questions, by number
 * @param number number of the newest question
 * @param nextAskMs time of the next questions
 */
public record OutageReports(
    String self, Map<String, Long> reportsMs, Map<Long, Long> asked, long number, long nextAskMs) {

  /** Age of the last contact from which on a member counts as one without. */
  public static final long LOST_CONTACT_MS = 2_000;

  /** Longest age of a report that counts. */
  public static final long REPORT_MS = 3_000;

  static final long ASK_PERIOD_MS = 350;
  static final int ASKED_MEMBERS = 2;
  static final int AGE_STEP_MS = 25;
  static final int NO_REPORT = 127;

  /**
   * What the reports are compared with.
   *
   * @param appliedOffset last folded offset; it decides the list of processes
   * @param processes processes that have not ended, in order of VM
   * @param contactMs time of the last own log contact, or empty
   */
  public record View(long appliedOffset, List<Incarnation> processes, OptionalLong contactMs) {
    /** Copies the list. */
    public View {
      processes = List.copyOf(processes);
    }

    boolean hasContact(long nowMs) {
      return contactMs.isPresent() && nowMs - contactMs.getAsLong() <= LOST_CONTACT_MS;
    }
  }

  /** Copies the maps. */
  public OutageReports {
    reportsMs = Collections.unmodifiableMap(new TreeMap<>(reportsMs));
    asked = Collections.unmodifiableMap(new TreeMap<>(asked));
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
      View view, List<Known> live, long nowMs, RandomSource random) {
    if (view.hasContact(nowMs)) {
      return Step.to(of(self).numbered(number));
    }
    if (nowMs < nextAskMs) {
      return Step.to(this);
    }
    List<Known> pool = new ArrayList<>(live);
    List<MemberAction> questions = new ArrayList<>();
    Map<Long, Long> open = new TreeMap<>(asked);
    open.values().removeIf(sentMs -> nowMs - sentMs > REPORT_MS);
    long last = number;
    while (questions.size() < ASKED_MEMBERS && !pool.isEmpty()) {
      Known target = pool.remove(random.nextIndex(pool.size()));
      last++;
      open.put(last, nowMs);
      questions.add(
          new MemberAction.Send(
              target.member().getPeerAddress(), new OutageQuery(last, view.appliedOffset())));
    }
    Map<String, Long> reports = new TreeMap<>(reportsMs);
    reports.put(self, nowMs);
    return new Step<>(
        new OutageReports(self, reports, open, last, nowMs + ASK_PERIOD_MS), questions);
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
  public OutageReport answer(OutageQuery query, Incarnation sender, View view, long nowMs) {
    List<Integer> ages = new ArrayList<>();
    for (Incarnation process : view.processes()) {
      ages.add(view.hasContact(nowMs) ? NO_REPORT : age(process.getVm(), nowMs));
    }
    return new OutageReport(query.getNumber(), sender, view.appliedOffset(), ages);
  }

  private int age(String vm, long nowMs) {
    if (vm.equals(self)) {
      return 0;
    }
    if (!reportsMs.containsKey(vm)) {
      return NO_REPORT;
    }
    long ageMs = nowMs - reportsMs.get(vm);
    return (int) Math.min(NO_REPORT, (ageMs + AGE_STEP_MS - 1) / AGE_STEP_MS);
  }

  /**
   * Takes an answer. One from a process with another offset stands for another list and is ignored.
   *
   * @param report the answer
   * @param view what is known
   * @return the next state
   */
  public OutageReports received(OutageReport report, View view) {
    if (!asked.containsKey(report.getNumber())) {
      return this;
    }
    Map<Long, Long> open = new TreeMap<>(asked);
    long askedMs = open.remove(report.getNumber());
    Map<String, Long> reports = new TreeMap<>(reportsMs);
    boolean sameList =
        report.getAppliedOffset() == view.appliedOffset()
            && report.getAges().size() == view.processes().size();
    for (int i = 0; sameList && i < report.getAges().size(); i++) {
      int age = report.getAges().get(i);
      if (age < NO_REPORT) {
        long reportMs = askedMs - (long) age * AGE_STEP_MS;
        reports.merge(view.processes().get(i).getVm(), reportMs, Math::max);
      }
    }
    return new OutageReports(self, reports, open, number, nextAskMs);
  }

  /**
   * Tells how old the knowledge is that a majority has no log contact.
   *
   * @param view what is known
   * @param nowMs current time
   * @return time of the oldest report in the newest majority, or empty without a majority
   */
  public OptionalLong majorityMs(View view, long nowMs) {
    List<Long> times = new ArrayList<>();
    for (Incarnation process : view.processes()) {
      long reportMs = reportsMs.getOrDefault(process.getVm(), Long.MIN_VALUE);
      if (reportMs >= nowMs - REPORT_MS) {
        times.add(reportMs);
      }
    }
    int majority = view.processes().size() / 2 + 1;
    if (view.hasContact(nowMs) || times.size() < majority) {
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
  public long deadlineMs(View view) {
    OptionalLong contactMs = view.contactMs();
    long lostMs = contactMs.isPresent() ? contactMs.getAsLong() + LOST_CONTACT_MS + 1 : nextAskMs;
    return Math.max(lostMs, nextAskMs);
  }

  private OutageReports numbered(long last) {
    return new OutageReports(self, Map.of(), Map.of(), last, Long.MIN_VALUE);
  }
}
