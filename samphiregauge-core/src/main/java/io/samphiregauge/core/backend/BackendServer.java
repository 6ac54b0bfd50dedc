package io.samphiregauge.core.backend;

import java.util.Optional;

/**
 * Announcement of a backend server.
 *
 * @param id identifier of the server; a restarted server may keep it
 * @param startedMs start time of the server, in milliseconds since the epoch by its own clock
 * @param service name of the service that it provides
 * @param softwareVersion version of its software
 * @param address IP address and port
 * @param domain failure domain
 * @param slots maximum number of concurrent requests
 * @param draining whether it is shutting down and must not receive new requests
 * @param stage stage that the engine runs; empty if not a model engine
 * @param reclaimable whether the platform may reclaim it at short notice
 */
public record BackendServer(
    String id,
    long startedMs,
    String service,
    String softwareVersion,
    String address,
    String domain,
    int slots,
    boolean draining,
    Optional<EngineStage> stage,
    boolean reclaimable) {
  /**
   * Returns the identifier of this incarnation of the server.
   *
   * @return identifier and start time; a restart changes it
   */
  public String incarnation() {
    return id + "@" + startedMs;
  }

  /**
   * Returns whether this server can use what another one writes: events of a stream and KV caches.
   * Different software versions cannot, and the servers do not check this.
   *
   * @param other the other server
   */
  public boolean isCompatibleWith(BackendServer other) {
    return service.equals(other.service) && softwareVersion.equals(other.softwareVersion);
  }

  /**
   * Returns whether the server only prefills prompts.
   *
   * @return whether another engine has to decode its requests
   */
  public boolean prefillOnly() {
    return stage.filter(EngineStage.PREFILL::equals).isPresent();
  }
}
