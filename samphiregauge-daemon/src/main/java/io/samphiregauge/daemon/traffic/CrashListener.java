package io.samphiregauge.daemon.traffic;

import java.util.function.Supplier;

/** Is told of a request whose backend server failed while the request ran there. */
@FunctionalInterface
public interface CrashListener {
  /**
   * Takes the news before the caller is answered and before the request runs elsewhere.
   *
   * @param backend name of the backend server
   * @param fingerprint gives the digest of team, route and body
   * @param next must be run once other entries know, on any thread
   */
  void crashed(String backend, Supplier<String> fingerprint, Runnable next);
}
