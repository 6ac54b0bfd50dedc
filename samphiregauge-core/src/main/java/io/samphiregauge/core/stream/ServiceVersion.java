package io.samphiregauge.core.stream;

import io.samphiregauge.core.backend.BackendServer;

/**
 * A version of the software of the backend servers of a service.
 *
 * @param service name of the service
 * @param version version of the software
 */
public record ServiceVersion(String service, String version) {
  /** Returns the service and the software version of a server. */
  public static ServiceVersion of(BackendServer server) {
    return new ServiceVersion(server.service(), server.softwareVersion());
  }
}
