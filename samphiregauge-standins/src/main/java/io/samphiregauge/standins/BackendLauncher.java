package io.samphiregauge.standins;

import io.samphiregauge.schema.config.Backend;
import io.samphiregauge.schema.order.StartBackends;
import java.util.Optional;

/** Starts the backend servers that are ordered from a {@link PlatformStandin}. */
@FunctionalInterface
public interface BackendLauncher {
  /**
   * Starts one backend server.
   *
   * @param order order that the backend server is part of
   * @param name name of the backend server, unique within the platform stand-in
   * @return the backend server, or empty if none can be started
   */
  Optional<Backend> launch(StartBackends order, String name);
}
