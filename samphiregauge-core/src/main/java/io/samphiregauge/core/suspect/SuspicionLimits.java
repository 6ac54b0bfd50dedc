package io.samphiregauge.core.suspect;

/** Bounds of the suspicion machine. */
public final class SuspicionLimits {
  /** Tokens after which a request is proven in its current run. */
  public static final int PROVEN_TOKENS = 8;

  /** Longest wait for acknowledgements before a caller is answered. */
  public static final long ACK_TIMEOUT_MS = 200;

  /** Time after which a notice without acknowledgement is sent again. */
  public static final long RESEND_INTERVAL_MS = 100;

  /** Time for which a suspect that is not sent again is remembered. */
  static final long SUSPECT_RETENTION_MS = 600_000;

  /** Time for which a condemned request is refused. */
  static final long BLOCKED_RETENTION_MS = 86_400_000;

  /** 8,192 digests of 64 characters fit into a frame of 1 MiB. */
  static final int MAX_FINGERPRINTS = 8_192;

  private SuspicionLimits() {}
}
