package io.samphiregauge.gateway.traffic;

import io.samphiregauge.core.backend.BackendServer;
import io.samphiregauge.core.stream.StreamBinding;

/**
 * Binds the stream of one request to the software version of the server that sends its first event.
 * Confined to one event loop.
 */
final class StreamBinder {
  private final StreamBinding binding = new StreamBinding();

  StreamBinding binding() {
    return binding;
  }

  /** Records that a server has sent an event; only the first one binds the stream. */
  void onEvent(BackendServer server) {
    if (binding.version().isPresent()) {
      return;
    }
    binding.bind(server.softwareVersion());
  }
}
