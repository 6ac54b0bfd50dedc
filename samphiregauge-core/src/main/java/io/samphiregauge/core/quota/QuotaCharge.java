package io.samphiregauge.core.quota;

import io.samphiregauge.core.DualTimestamp;

/**
 * What a request was charged.
 *
 * @param team name of the team
 * @param cost the credit that it used
 * @param askedAt time at which that credit was asked for; its life counts from then also if it is
 *     given back
 */
public record QuotaCharge(String team, long cost, DualTimestamp askedAt) {}
