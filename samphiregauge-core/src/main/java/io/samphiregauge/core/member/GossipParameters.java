package io.samphiregauge.core.member;

/** Times and counts of the membership protocol. */
public final class GossipParameters {
  /** Time between probes of one member. */
  public static final long PROBE_PERIOD_MS = 1_000;

  /** Silence after which other members are asked to probe. */
  public static final long INDIRECT_PROBE_DELAY_MS = 300;

  /** Silence after which the probed member is suspected. */
  public static final long PROBE_TIMEOUT_MS = 1_000;

  /** Time in which a suspicion may be refuted. */
  public static final long SUSPICION_TIMEOUT_MS = 4_000;

  /** Time between comparisons of whole member lists. */
  public static final long EXCHANGE_PERIOD_MS = 30_000;

  /** Time after which a dead member is forgotten. */
  public static final long DEAD_RETENTION_MS = 3_600_000;

  /** Time between ticks that only a pause of the process explains; open probes are dropped. */
  public static final long PAUSE_THRESHOLD_MS = 700;

  static final int INDIRECT_PROBE_COUNT = 3;
  static final int MAX_UPDATES_PER_MESSAGE = 12;

  /** One probe in this many goes to another failure domain. */
  static final int REMOTE_PROBE_INTERVAL = 4;

  /** Sends of an update as a multiple of log2 of the number of members. */
  static final int RETRANSMIT_FACTOR = 3;

  private GossipParameters() {}
}
