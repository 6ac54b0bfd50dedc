package io.samphiregauge.core.member;

/** Timeouts, periods and limits of the gossip protocol. */
public final class GossipParameters {
  /** Time between two probes sent by this process. */
  public static final long PROBE_PERIOD_MS = 1_000;

  /** Time without an acknowledgement after which indirect probes are requested. */
  public static final long INDIRECT_PROBE_DELAY_MS = 300;

  /** Time without an acknowledgement after which the probed member is suspected. */
  public static final long PROBE_TIMEOUT_MS = 1_000;

  /** Time in which a suspected member can refute the suspicion before it is declared dead. */
  public static final long SUSPICION_TIMEOUT_MS = 4_000;

  /** Time between two exchanges of member list digests. */
  public static final long EXCHANGE_PERIOD_MS = 30_000;

  /** Time after which a dead member is removed from the list. */
  public static final long DEAD_RETENTION_MS = 3_600_000;

  /**
   * A pause of the process is assumed if the time since the last event exceeds the probe period by
   * more than this value. Pending probes are then discarded and suspicion timeouts restart.
   */
  public static final long PAUSE_THRESHOLD_MS = 700;

  /** Maximum number of members that receive an indirect probe request. */
  static final int INDIRECT_PROBE_COUNT = 3;

  /** Member updates piggybacked on one message. */
  static final int MAX_UPDATES_PER_MESSAGE = 12;

  /**
   * Probes whose number is a multiple of this value target another failure domain. The other probes
   * target the failure domain of the sender.
   */
  static final int REMOTE_PROBE_INTERVAL = 4;

  /** An update is sent this factor times {@code floor(log2(members)) + 1} times. */
  static final int RETRANSMIT_FACTOR = 3;

  private GossipParameters() {}
}
