package io.samphiregauge.standins;

import io.samphiregauge.schema.config.Backend;
import io.samphiregauge.schema.order.StartBackends;
import java.util.Optional;

/** Starts the backend servers that the platform stand-in is asked for. */
@FunctionalInterface
public interface BackendLauncher {
  /**
   * Starts one backend server.
   *
   * @param order the order
   * @param name name for the backend server, unique for the platform
   * @return the backend server, or empty where none can be obtained
   */
  Optional<Backend> launch(StartBackends order, String name);
}
