package io.samphiregauge.core.backend;

import java.util.Optional;

/**
 * A backend server as it announced itself.
 *
 * @param id identifier of the server; a restarted server may keep it
 * @param startedMs start of the server, in milliseconds since 1970 by its own clock
 * @param service service that it offers
 * @param address IP number and port
 * @param domain failure domain
 * @param slots requests that it runs at once
 * @param draining whether it leaves and must get no new work
 * @param stage part of the work that it does, for a model engine
 * @param reclaimable whether the platform may take it away at short notice
 */
public record BackendServer(
    String id,
    long startedMs,
    String service,
    String address,
    String domain,
    int slots,
    boolean draining,
    Optional<EngineStage> stage,
    boolean reclaimable) {
  /**
   * Names this start of the server.
   *
   * @return identifier and start; another start has another name
   */
  public String incarnation() {
    return id + "@" + startedMs;
  }

  /**
   * Returns whether the server prefills only.
   *
   * @return whether it takes no whole requests
   */
  public boolean prefillOnly() {
    return stage.filter(EngineStage.PREFILL::equals).isPresent();
  }
}
