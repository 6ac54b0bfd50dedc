package io.samphiregauge.core.stream;

import io.samphiregauge.core.backend.BackendServer;
import java.util.Optional;

/**
 * The software version that one stream is bound to, once one is known to have begun it. Not
 * thread-safe.
 */
public final class StreamBinding {
  private Optional<String> version = Optional.empty();

  /** Returns the version, if the stream is bound to one. */
  public Optional<String> version() {
    return version;
  }

  /**
   * Binds the stream to a version.
   *
   * @param softwareVersion version of the server that began the stream
   */
  public void bind(String softwareVersion) {
    version = Optional.of(softwareVersion);
  }

  /** Returns whether a server may go on with the stream, or begin it if none has. */
  public boolean permits(BackendServer server) {
    return version.map(server.softwareVersion()::equals).orElse(true);
  }
}
