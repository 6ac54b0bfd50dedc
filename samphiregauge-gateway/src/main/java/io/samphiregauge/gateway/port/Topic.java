package io.samphiregauge.gateway.port;

/** Topics of the shared store that the gateway uses. */
public enum Topic {
  /** Configurations of the operators; keyed, read only. */
  CONFIG,
  /** Announcements of backend servers; keyed, read only. */
  BACKENDS,
  /** The record of the duty lease; keyed. */
  DUTY,
  /** Usage counts of each process, by window. */
  USAGE,
  /** Software versions of the backend servers of each service; keyed. */
  VERSIONS,
  /** Software versions that began streams. */
  STREAMS,
  /** Requests whose backend server terminated while running them. */
  CRASHES
}
