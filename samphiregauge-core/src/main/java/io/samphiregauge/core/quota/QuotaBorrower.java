package io.samphiregauge.core.quota;

import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.quota.QuotaDecision.Admitted;
import io.samphiregauge.core.quota.QuotaDecision.Reason;
import io.samphiregauge.core.quota.QuotaDecision.Refused;
import io.samphiregauge.core.site.TeamQuota;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Decides which requests of limited teams one entry may send, from the credit that it has borrowed,
 * and what it asks the lenders for. Performs no I/O. Not thread-safe.
 *
 * @param <R> type of the requests
 */
public final class QuotaBorrower<R> {
  /** Time after which an unanswered ask is repeated; a round trip takes a few milliseconds. */
  public static final long ASK_TIMEOUT_MS = 80;

  /** Time after which a request without an answer is refused; callers want the answer to start. */
  public static final long MAX_WAIT_MS = 200;

  /** Time to return while the lender does not answer; a new one needs a few seconds. */
  private static final long SILENT_RETRY_MS = 1_000;

  /** Requests of one team that wait; more come only if the lender is silent. */
  private static final int MAX_WAITING = 256;

  private final QuotaTolerance tolerance;
  private final Map<String, QuotaAccount> accounts = new HashMap<>();
  private final Map<String, Deque<Waiting<R>>> waitingByTeam = new LinkedHashMap<>();
  private final Set<String> lowTeams = new LinkedHashSet<>();
  private long lastNumber;

  private record Waiting<R>(R request, long cost, DualTimestamp since, long askNumber) {
    Waiting<R> asked(long number) {
      return new Waiting<>(request, cost, since, number);
    }
  }

  /**
   * Creates a borrower without credit.
   *
   * @param tolerance how far quotas may be exceeded
   * @param firstNumber number before that of the first ask; larger than all of earlier processes at
   *     the same address
   */
  public QuotaBorrower(QuotaTolerance tolerance, long firstNumber) {
    this.tolerance = tolerance;
    this.lastNumber = firstNumber;
  }

  /**
   * Decides on a request, or lets it wait for an answer of the lender.
   *
   * @param request the request
   * @param team name of its team
   * @param quota quota of the team
   * @param cost what the request counts for
   * @param now current time
   * @return the decision, or empty while the request waits
   */
  public Optional<QuotaDecision<R>> submit(
      R request, String team, TeamQuota quota, long cost, DualTimestamp now) {
    if (cost > tolerance.largestLoan(quota)) {
      return Optional.of(new QuotaDecision<>(request, new Refused(Reason.BEYOND_BURST, 0, 0)));
    }
    QuotaAccount account = account(team, quota);
    account.recordDemand(cost, now);
    boolean othersWait = waitingByTeam.containsKey(team);
    Optional<QuotaCharge> charge = othersWait ? Optional.empty() : account.trySpend(cost, now);
    if (charge.isPresent()) {
      if (account.isLow(now) && !account.awaitsGrant(now, ASK_TIMEOUT_MS)) {
        lowTeams.add(team);
      }
      return charge.map(paid -> new QuotaDecision<>(request, new Admitted(paid, 0)));
    }
    Deque<Waiting<R>> waiting = waitingByTeam.computeIfAbsent(team, name -> new ArrayDeque<>());
    if (waiting.size() >= MAX_WAITING) {
      return Optional.of(
          new QuotaDecision<>(request, new Refused(Reason.LENDER_SILENT, SILENT_RETRY_MS, 0)));
    }
    waiting.addLast(new Waiting<>(request, cost, now, 0));
    return Optional.empty();
  }

  private QuotaAccount account(String team, TeamQuota quota) {
    QuotaAccount account =
        accounts.computeIfAbsent(team, name -> new QuotaAccount(name, quota, tolerance));
    if (account.quota().equals(quota)) {
      return account;
    }
    // Credit of the old quota ends, so that a lower one takes effect at once.
    QuotaAccount changed = new QuotaAccount(team, quota, tolerance);
    accounts.put(team, changed);
    return changed;
  }

  /**
   * Returns what to ask for, for requests that have not been asked for and ahead of demand.
   *
   * @param now current time
   * @return the asks of all teams
   */
  public Ask takeAsk(DualTimestamp now) {
    long number = ++lastNumber;
    List<CreditNeed> needs = new ArrayList<>();
    waitingByTeam.forEach(
        (team, waiting) -> {
          List<Long> costs = new ArrayList<>();
          for (int i = waiting.size(); i > 0; i--) {
            Waiting<R> next = waiting.pollFirst();
            if (next.askNumber() == 0) {
              costs.add(next.cost());
            }
            waiting.addLast(next.askNumber() == 0 ? next.asked(number) : next);
          }
          if (!costs.isEmpty()) {
            needs.add(need(number, team, costs, now));
          }
        });
    lowTeams.stream()
        .filter(team -> accounts.containsKey(team) && !waitingByTeam.containsKey(team))
        .forEach(team -> needs.add(need(number, team, List.of(), now)));
    lowTeams.clear();
    return new Ask(number, needs);
  }

  private CreditNeed need(long number, String team, List<Long> costs, DualTimestamp now) {
    QuotaAccount account = accounts.get(team);
    account.recordAsk(number, now);
    return new CreditNeed(team, costs, account.aheadAmount(now));
  }

  /**
   * An ask for credit.
   *
   * @param number its number, which the grants repeat
   * @param needs what is needed, one for each team
   */
  public record Ask(long number, List<CreditNeed> needs) {}

  /**
   * Adds granted credit, and decides on the requests that were asked for.
   *
   * @param number number of the ask
   * @param team name of the team
   * @param credit what was lent
   * @param now current time
   * @return the decisions
   */
  public List<QuotaDecision<R>> onGrant(
      long number, String team, LentCredit credit, DualTimestamp now) {
    QuotaAccount account = accounts.get(team);
    if (account == null || !account.addGrant(number, credit.amount(), now)) {
      return List.of();
    }
    List<QuotaDecision<R>> decisions = new ArrayList<>();
    Deque<Waiting<R>> waiting = waitingByTeam.getOrDefault(team, new ArrayDeque<>());
    boolean exhausted = false;
    for (Iterator<Waiting<R>> all = waiting.iterator(); all.hasNext(); ) {
      Waiting<R> next = all.next();
      long waitedMs = now.millisSince(next.since());
      Optional<QuotaCharge> charge =
          exhausted ? Optional.empty() : account.trySpend(next.cost(), now);
      exhausted = charge.isEmpty();
      if (charge.isPresent()) {
        all.remove();
        decisions.add(
            new QuotaDecision<>(next.request(), new Admitted(charge.orElseThrow(), waitedMs)));
      } else if (credit.retryMs() > 0 && next.askNumber() > 0 && next.askNumber() <= number) {
        all.remove();
        decisions.add(
            new QuotaDecision<>(
                next.request(), new Refused(Reason.OVER_QUOTA, credit.retryMs(), waitedMs)));
      }
    }
    if (waiting.isEmpty()) {
      waitingByTeam.remove(team);
    }
    return decisions;
  }

  /** Returns whether there may be something to ask for. */
  public boolean hasNeeds() {
    return hasWaiting() || !lowTeams.isEmpty();
  }

  /** Returns whether requests wait, so that {@link #sweep} must be called again. */
  public boolean hasWaiting() {
    return !waitingByTeam.isEmpty();
  }

  /**
   * Asks again for requests whose ask was not answered, and ends the wait of those that have waited
   * for long.
   *
   * @param now current time
   * @return the decisions
   */
  public List<QuotaDecision<R>> sweep(DualTimestamp now) {
    List<QuotaDecision<R>> decisions = new ArrayList<>();
    for (Iterator<Map.Entry<String, Deque<Waiting<R>>>> teams = waitingByTeam.entrySet().iterator();
        teams.hasNext(); ) {
      Map.Entry<String, Deque<Waiting<R>>> entry = teams.next();
      QuotaAccount account = accounts.get(entry.getKey());
      Deque<Waiting<R>> left = new ArrayDeque<>();
      boolean repeat = !account.awaitsGrant(now, ASK_TIMEOUT_MS);
      for (Waiting<R> waiting : entry.getValue()) {
        long waitedMs = now.millisSince(waiting.since());
        if (waitedMs >= MAX_WAIT_MS) {
          decisions.add(endInSilence(account, waiting, now, waitedMs));
        } else {
          left.addLast(repeat ? waiting.asked(0) : waiting);
        }
      }
      entry.getValue().clear();
      entry.getValue().addAll(left);
      if (left.isEmpty()) {
        teams.remove();
      }
    }
    return decisions;
  }

  private QuotaDecision<R> endInSilence(
      QuotaAccount account, Waiting<R> waiting, DualTimestamp now, long waitedMs) {
    return account
        .trySpendInSilence(waiting.cost(), now)
        .map(charge -> new QuotaDecision<>(waiting.request(), new Admitted(charge, waitedMs)))
        .orElseGet(
            () ->
                new QuotaDecision<>(
                    waiting.request(),
                    new Refused(Reason.LENDER_SILENT, SILENT_RETRY_MS, waitedMs)));
  }

  /**
   * Ends the wait of a request whose caller has left.
   *
   * @param request the request
   */
  public void cancel(R request) {
    waitingByTeam
        .values()
        .removeIf(
            waiting -> {
              waiting.removeIf(each -> each.request().equals(request));
              return waiting.isEmpty();
            });
  }

  /**
   * Gives back what a request was charged that no server has run and none will.
   *
   * @param charge what it was charged
   * @param now current time
   */
  public void refund(QuotaCharge charge, DualTimestamp now) {
    Optional.ofNullable(accounts.get(charge.team()))
        .ifPresent(account -> account.refund(charge, now));
  }

  /**
   * Drops the accounts of teams without a quota. Their waiting requests end by {@link #sweep}.
   *
   * @param limited selects the teams that have a quota
   */
  public void retain(Predicate<String> limited) {
    accounts.keySet().removeIf(team -> !limited.test(team) && !waitingByTeam.containsKey(team));
  }

  /**
   * Returns what this entry knows of a team.
   *
   * @param team name of the team
   * @param now current time
   * @return the state; empty if the team has no account here
   */
  public Optional<QuotaState> state(String team, DualTimestamp now) {
    return Optional.ofNullable(accounts.get(team)).map(account -> account.state(now));
  }
}
