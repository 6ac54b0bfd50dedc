package io.samphiregauge.core.quota;

/**
 * The end of a request's wait for credit.
 *
 * @param request the request, as passed to the borrower
 * @param outcome what was decided
 * @param <R> type of the requests
 */
public record QuotaDecision<R>(R request, Outcome outcome) {
  /** What was decided on a request. */
  public sealed interface Outcome permits Admitted, Refused {}

  /**
   * The request may be sent.
   *
   * @param charge what it was charged, to give back if no server runs it
   * @param waitedMs time for which it waited for credit, in milliseconds
   */
  public record Admitted(QuotaCharge charge, long waitedMs) implements Outcome {}

  /**
   * The request may not be sent.
   *
   * @param reason why
   * @param retryMs time until it should return, in milliseconds; 0 if it can never pass
   * @param waitedMs time for which it waited for credit, in milliseconds
   */
  public record Refused(Reason reason, long retryMs, long waitedMs) implements Outcome {}

  /** Why a request was refused. */
  public enum Reason {
    /** The lender had no credit left. */
    OVER_QUOTA,
    /** The request costs more than the burst of its team. */
    BEYOND_BURST,
    /** The lender did not answer in time. */
    LENDER_SILENT
  }
}
