package io.samphiregauge.core.quota;

import io.samphiregauge.core.site.TeamQuota;

/**
 * How far a team may exceed its quota in a window, and how that is divided. The parts add up to the
 * whole: three eighths let the team itself vary, a quarter is for credit that was lent before the
 * window, an eighth for entries that their lender does not answer, a sixteenth for debt of the
 * lender, and three sixteenths for requests between their admission and the server.
 *
 * @param windowMs length of the window, in milliseconds
 * @param overage part of the quota by which it may be exceeded
 * @param slack units by which it may be exceeded besides
 */
public record QuotaTolerance(long windowMs, double overage, long slack) {
  private static final double DEPTH_PART = 3.0 / 8;
  private static final double CREDIT_PART = 1.0 / 4;
  private static final double SILENCE_PART = 1.0 / 8;
  private static final double DEBT_PART = 1.0 / 16;

  /** A shorter life would not outlast the way of a grant between two entries. */
  private static final long MIN_CREDIT_LIFE_MS = 100;

  /** Within a longer time, the demand at an entry changes. */
  private static final long MAX_CREDIT_LIFE_MS = 1_000;

  private static final double MS_PER_S = 1_000;

  /** Returns what accrues in a window that begins with a full burst. */
  double windowQuota(TeamQuota quota) {
    return quota.ratePerS() * windowMs / MS_PER_S + quota.burst();
  }

  /** Returns by how much the quota may be exceeded in a window. */
  double excess(TeamQuota quota) {
    return overage * windowQuota(quota) + slack;
  }

  /**
   * Returns how much credit accrues at most. More than the burst, so that a team is not refused
   * while it is below what the operators check.
   */
  double depth(TeamQuota quota) {
    return quota.burst() + DEPTH_PART * excess(quota);
  }

  /** Returns for how long an entry may use credit after it has asked for it. */
  long creditLifeMs(TeamQuota quota) {
    double lifeMs = CREDIT_PART * excess(quota) / quota.ratePerS() * MS_PER_S;
    return (long) Math.max(MIN_CREDIT_LIFE_MS, Math.min(MAX_CREDIT_LIFE_MS, lifeMs));
  }

  /** Returns how far a lender may lend more than has accrued, so that large requests pass too. */
  double maxDebt(TeamQuota quota) {
    return Math.min(quota.burst(), DEBT_PART * excess(quota));
  }

  /** Returns the largest cost that can ever be lent; more than that never accrues. */
  double largestLoan(TeamQuota quota) {
    return Math.max(1, depth(quota) + maxDebt(quota));
  }

  /** Returns the part of its last window's credit that an entry may use without its lender. */
  double silenceRatio(TeamQuota quota) {
    return SILENCE_PART * excess(quota) / windowQuota(quota);
  }
}
