package io.samphiregauge.core.site;

/** What the quota of a team limits. */
public enum QuotaUnit {
  /** Each request counts 1. */
  REQUESTS,

  /** Each request counts the tokens of its prompt and the maximum tokens of its response. */
  TOKENS
}
