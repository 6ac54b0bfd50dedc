package io.samphiregauge.daemon.traffic;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Receives engine crashes and isolation requests for calls suspected of crashing engines. */
@FunctionalInterface
public interface CrashListener {
  /**
   * Handles the failure of an engine during a call, before the caller receives a response and
   * before the request is retried on another engine.
   *
   * @param engine name of the failed engine
   * @param fingerprint supplies the digest of team, route and body of the request
   * @param onRecorded must be run once other entries know of the crash, on any thread
   */
  void engineCrashed(String engine, Supplier<String> fingerprint, Runnable onRecorded);

  /**
   * Requests an engine on which a suspect request may run alone. By default none is granted.
   *
   * @param fingerprint fingerprint of the suspect request
   * @param engines names of the engines that could run it
   * @param onGranted receives the engine, or empty if none is available, on any thread
   */
  default void requestIsolation(
      String fingerprint, List<String> engines, Consumer<Optional<String>> onGranted) {
    onGranted.accept(Optional.empty());
  }

  /**
   * Handles the end of the isolation that was granted to a suspect request. Also called if the
   * request was not run, because its call had finished before the engine was granted. Not called
   * after a crash, which {@link #engineCrashed} reports.
   *
   * @param fingerprint fingerprint of the suspect request
   * @param completed whether the response was complete, as opposed to cancelled, aborted or never
   *     started
   */
  default void isolationEnded(String fingerprint, boolean completed) {}
}
