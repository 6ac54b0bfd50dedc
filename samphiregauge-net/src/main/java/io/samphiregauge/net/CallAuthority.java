package io.samphiregauge.net;

import java.util.OptionalLong;

/** Limits the time until which a request may be outstanding, such as by a lease of the sender. */
@FunctionalInterface
public interface CallAuthority {
  /** Authority of requests that only their timeout limits. */
  CallAuthority UNLIMITED = OptionalLong::empty;

  /**
   * Returns the time for which the request may still be outstanding. Called on the event loop of
   * the connection, immediately before the socket write and until the response is complete; the
   * result may grow when a lease is renewed.
   *
   * @return remaining milliseconds, 0 or less if the authority has ended; empty without a limit
   */
  OptionalLong remainingMs();
}
