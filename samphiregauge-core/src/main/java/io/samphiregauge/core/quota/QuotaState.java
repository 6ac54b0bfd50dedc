package io.samphiregauge.core.quota;

/**
 * What an entry knows of the quota of one team.
 *
 * @param credit credit that it holds
 * @param lent credit that was lent to it in the last window
 * @param answerAgeMs time since the lender last answered, in milliseconds
 */
public record QuotaState(long credit, long lent, long answerAgeMs) {
  /** The state of a team that this entry has not asked for. */
  public static final QuotaState NONE = new QuotaState(0, 0, 0);
}
