package io.samphiregauge.core.quota;

/**
 * What a lender lends on an ask.
 *
 * @param amount credit in the unit of the quota
 * @param retryMs time until the first request without credit should return, in milliseconds; 0 if
 *     all requests got credit
 */
public record LentCredit(long amount, long retryMs) {}
