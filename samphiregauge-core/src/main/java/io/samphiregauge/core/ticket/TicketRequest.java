package io.samphiregauge.core.ticket;

import java.util.Objects;

/**
 * Identity of the request that a ticket is used for.
 *
 * @param team team whose key the request carries
 * @param fingerprint digest of team, route and body
 */
public record TicketRequest(String team, String fingerprint) {
  /** Checks that both components are present. */
  public TicketRequest {
    Objects.requireNonNull(team, "team");
    Objects.requireNonNull(fingerprint, "fingerprint");
  }
}
