package io.samphiregauge.daemon.traffic;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Connects the suspicion of requests that crash engines with the calls of this entry. */
@FunctionalInterface
public interface CrashListener {
  /**
   * Takes the news before the caller is answered and before the request runs elsewhere.
   *
   * @param backend name of the backend server
   * @param fingerprint gives the digest of team, route and body
   * @param next must be run once other entries know, on any thread
   */
  void engineCrashed(String backend, Supplier<String> fingerprint, Runnable next);

  /**
   * Asks for an engine on which a suspect may run alone; refuses unless overridden.
   *
   * @param fingerprint fingerprint of the suspect
   * @param engines engines that could run it
   * @param granted takes the engine, or empty where none can be had, on any thread
   */
  default void requestIsolation(
      String fingerprint, List<String> engines, Consumer<Optional<String>> granted) {
    granted.accept(Optional.empty());
  }

  /**
   * Takes the end of a suspect's run.
   *
   * @param fingerprint fingerprint of the suspect
   * @param toItsEnd whether it ran to its end, and not merely stopped
   */
  default void isolationEnded(String fingerprint, boolean toItsEnd) {}
}
