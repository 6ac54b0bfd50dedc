package io.samphiregauge.core.ticket;

import java.util.Objects;

/**
 * The request that a ticket is used for.
 *
 * @param team team whose key came with the request
 * @param fingerprint digest of team, route and body
 */
public record TicketRequest(String team, String fingerprint) {
  /** Checks that both parts are there. */
  public TicketRequest {
    Objects.requireNonNull(team, "team");
    Objects.requireNonNull(fingerprint, "fingerprint");
  }
}
