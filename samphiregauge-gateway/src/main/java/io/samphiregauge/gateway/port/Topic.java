package io.samphiregauge.gateway.port;

/** Streams of the shared store that the gateway uses. */
public enum Topic {
  /** Configurations of the operators; keyed, read only. */
  CONFIG,
  /** Announcements of backend servers; keyed, read only. */
  BACKENDS,
  /** The register of the duty lease; keyed. */
  DUTY,
  /** Counts of usage windows by process. */
  USAGE,
  /** Requests whose backend server ended while it ran them. */
  CRASHES
}
