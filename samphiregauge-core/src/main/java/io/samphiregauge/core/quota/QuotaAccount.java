package io.samphiregauge.core.quota;

import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.site.TeamQuota;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * The credit that one entry holds of one team's quota. Not thread-safe.
 *
 * <p>Credit ends a fixed time after it was asked for, by both clocks, so that a frozen entry wakes
 * without any. What lenders have lent before a window then adds at most that time's rate to it.
 */
final class QuotaAccount {
  /** Bounds the memory; asks that are older than this many are as good as lost. */
  private static final int MAX_OPEN_ASKS = 8;

  /** Demand is measured over this time. */
  private static final long DEMAND_WINDOW_MS = 2_000;

  private final String team;
  private final TeamQuota quota;
  private final QuotaTolerance tolerance;
  private final long lifeMs;
  private final Deque<Credit> credits = new ArrayDeque<>();
  private final Deque<OpenAsk> openAsks = new ArrayDeque<>();
  private final SlidingSum lent;
  private final SlidingSum usedInSilence;
  private final SlidingSum demand = new SlidingSum(DEMAND_WINDOW_MS);
  private final SlidingSum requests = new SlidingSum(DEMAND_WINDOW_MS);
  private DualTimestamp lastSeen = DualTimestamp.NEVER;
  private DualTimestamp answeredAt = DualTimestamp.NEVER;

  private record Credit(long amount, DualTimestamp askedAt) {}

  private record OpenAsk(long number, DualTimestamp askedAt) {}

  QuotaAccount(String team, TeamQuota quota, QuotaTolerance tolerance) {
    this.team = team;
    this.quota = quota;
    this.tolerance = tolerance;
    this.lifeMs = tolerance.creditLifeMs(quota);
    this.lent = new SlidingSum(tolerance.windowMs());
    this.usedInSilence = new SlidingSum(tolerance.windowMs());
  }

  TeamQuota quota() {
    return quota;
  }

  /** Records the demand of a request, whether it passes or not. */
  void recordDemand(long cost, DualTimestamp now) {
    demand.add(cost, now.monotonicMs());
    requests.add(1, now.monotonicMs());
  }

  /** Charges a request to the credit of this entry, oldest first, if that is enough. */
  Optional<QuotaCharge> trySpend(long cost, DualTimestamp now) {
    if (available(now) < cost) {
      return Optional.empty();
    }
    DualTimestamp oldest = credits.peekFirst().askedAt();
    long due = cost;
    while (due > 0) {
      Credit first = credits.pollFirst();
      long used = Math.min(due, first.amount());
      due -= used;
      if (used < first.amount()) {
        credits.addFirst(new Credit(first.amount() - used, first.askedAt()));
      }
    }
    return Optional.of(new QuotaCharge(team, cost, oldest));
  }

  /**
   * Charges a request that the lender does not answer to a small part of what it lent to this entry
   * in the last window. The parts of all entries then add up to that part of the quota, however
   * many entries there are, and a started entry has none.
   */
  Optional<QuotaCharge> trySpendInSilence(long cost, DualTimestamp now) {
    checkClocks(now);
    long nowMs = now.monotonicMs();
    double allowed = tolerance.silenceRatio(quota) * lent.total(nowMs);
    if (usedInSilence.total(nowMs) + cost > allowed) {
      return Optional.empty();
    }
    usedInSilence.add(cost, nowMs);
    return Optional.of(new QuotaCharge(team, cost, DualTimestamp.NEVER));
  }

  /** Gives back the credit of a request that no server has run. */
  void refund(QuotaCharge charge, DualTimestamp now) {
    if (now.millisSince(charge.askedAt()) < lifeMs) {
      credits.addFirst(new Credit(charge.cost(), charge.askedAt()));
    }
  }

  void recordAsk(long number, DualTimestamp now) {
    if (openAsks.size() == MAX_OPEN_ASKS) {
      openAsks.pollFirst();
    }
    openAsks.addLast(new OpenAsk(number, now));
  }

  /** Returns whether an ask is unanswered that is recent enough for its answer to be useful. */
  boolean awaitsGrant(DualTimestamp now, long timeoutMs) {
    return Optional.ofNullable(openAsks.peekLast())
        .filter(ask -> now.millisSince(ask.askedAt()) < timeoutMs)
        .isPresent();
  }

  /**
   * Adds granted credit.
   *
   * @return whether the ask was open; if not, the grant came twice or too late
   */
  boolean addGrant(long number, long amount, DualTimestamp now) {
    Optional<OpenAsk> answered =
        openAsks.stream().filter(ask -> ask.number() == number).findFirst();
    answered.ifPresent(
        ask -> {
          openAsks.remove(ask);
          answeredAt = now;
          if (amount > 0) {
            checkClocks(now);
            credits.addLast(new Credit(amount, ask.askedAt()));
            lent.add(amount, now.monotonicMs());
          }
        });
    return answered.isPresent();
  }

  /** Returns the credit to ask for ahead of demand, so that requests need not wait. */
  long aheadAmount(DualTimestamp now) {
    double horizon = lifeMs / 2.0 / DEMAND_WINDOW_MS;
    long nowMs = now.monotonicMs();
    // Credit for less than one request would mostly end unused.
    if (requests.total(nowMs) * horizon < 1) {
      return 0;
    }
    return Math.max(0, (long) (demand.total(nowMs) * horizon) - available(now));
  }

  /** Returns whether so little credit is left that the next requests would have to wait. */
  boolean isLow(DualTimestamp now) {
    long wanted = aheadAmount(now);
    return wanted > 0 && wanted >= available(now);
  }

  QuotaState state(DualTimestamp now) {
    long credit = available(now);
    return new QuotaState(credit, lent.total(now.monotonicMs()), now.millisSince(answeredAt));
  }

  long available(DualTimestamp now) {
    checkClocks(now);
    long sum = 0;
    for (var all = credits.iterator(); all.hasNext(); ) {
      Credit credit = all.next();
      if (now.millisSince(credit.askedAt()) >= lifeMs) {
        all.remove();
      } else {
        sum += credit.amount();
      }
    }
    return sum;
  }

  /** Forgets the last window after a freeze, in which others have used the quota. */
  private void checkClocks(DualTimestamp now) {
    if (!now.agreesWith(lastSeen)) {
      lent.clear();
      usedInSilence.clear();
    }
    lastSeen = now;
  }
}
