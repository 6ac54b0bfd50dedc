package io.samphiregauge.core.suspect;

/** A change of the traits that are blocked, with the reason. */
public sealed interface AttributionChange {
  /** Returns the trait whose state changed. */
  String trait();

  /**
   * Requests with the trait are refused from now on.
   *
   * @param trait the trait
   * @param crashes crashes that no other trait explains, or 0 if another entry reported the block
   * @param completions known completions of requests with the trait
   * @param durationMs time until the first trial, in milliseconds
   * @param byPeer whether another entry reported the block
   */
  record Blocked(String trait, int crashes, long completions, long durationMs, boolean byPeer)
      implements AttributionChange {}

  /**
   * A trial crashed its server, so that the requests are refused for longer.
   *
   * @param trait the trait
   * @param server incarnation of the server that crashed
   * @param durationMs time until the next trial, in milliseconds
   */
  record Renewed(String trait, String server, long durationMs) implements AttributionChange {}

  /**
   * Requests with the trait are sent again, because one of them completed.
   *
   * @param trait the trait
   * @param byPeer whether another entry reported the completion
   */
  record Cleared(String trait, boolean byPeer) implements AttributionChange {}

  /**
   * Requests with the trait are sent again, because nothing was reported about it for long.
   *
   * @param trait the trait
   */
  record Expired(String trait) implements AttributionChange {}
}
