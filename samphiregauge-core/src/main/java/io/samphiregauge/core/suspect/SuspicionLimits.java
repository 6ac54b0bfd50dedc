package io.samphiregauge.core.suspect;

/** Limits and timeouts of {@link Suspicion}. */
public final class SuspicionLimits {
  /** Number of produced tokens after which the current run of a request counts as harmless. */
  public static final int PROVEN_TOKENS = 8;

  /** Maximum time for which a caller's response waits for acknowledgements. */
  public static final long ACK_TIMEOUT_MS = 200;

  /** Time after which an unacknowledged notice is sent again. */
  public static final long RESEND_INTERVAL_MS = 100;

  /** Time after the last change for which a suspect or cleared request is kept. */
  static final long SUSPECT_RETENTION_MS = 600_000;

  /** Time after the last change for which a blocked request is refused. */
  static final long BLOCKED_RETENTION_MS = 86_400_000;

  /**
   * Maximum number of fingerprints that are tracked; 8,192 digests of 64 characters fit into a
   * frame of 1 MiB.
   */
  static final int MAX_FINGERPRINTS = 8_192;

  private SuspicionLimits() {}
}
