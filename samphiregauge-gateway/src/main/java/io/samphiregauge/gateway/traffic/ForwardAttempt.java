package io.samphiregauge.gateway.traffic;

import io.samphiregauge.core.dispatch.ServerChooser;
import io.samphiregauge.core.dispatch.ServerLoad;
import io.samphiregauge.gateway.DualTimestamp;
import io.samphiregauge.net.HttpConnection;
import java.util.Optional;

/**
 * Tracks one attempt to run a request on one server, and accounts for it in the load of the server
 * until it ends. Confined to one event loop.
 */
final class ForwardAttempt {
  private final ServerLoad load;
  private final long uncachedTokens;
  private final boolean prefillOnly;
  private final Optional<ServerLoad> cacheSource;
  private final DualTimestamp startedAt = DualTimestamp.now();
  private Optional<HttpConnection> connection = Optional.empty();
  private boolean prefilled;
  private boolean ended;

  private ForwardAttempt(
      ServerLoad load, long uncachedTokens, boolean prefillOnly, Optional<ServerLoad> cacheSource) {
    this.load = load;
    this.uncachedTokens = uncachedTokens;
    this.prefillOnly = prefillOnly;
    this.cacheSource = cacheSource;
    load.recordSent(uncachedTokens);
  }

  /** Starts an attempt without a prompt, or whose prompt was prefilled by another engine. */
  static ForwardAttempt withoutPrefill(ServerLoad load) {
    return new ForwardAttempt(load, 0, false, Optional.empty());
  }

  /** Starts an attempt that prefills the prompt as planned. */
  static ForwardAttempt fromPlan(ServerChooser.PromptPlan plan) {
    return new ForwardAttempt(
        plan.server(), plan.uncachedTokens(), plan.isPrefillOnly(), plan.cacheSource());
  }

  ServerLoad load() {
    return load;
  }

  /** Returns the incarnation of the server, which identifies it in log lines. */
  String incarnation() {
    return load.server().incarnation();
  }

  boolean prefillOnly() {
    return prefillOnly;
  }

  /** Returns the engine from whose cache the server fetches parts of the prompt, if any. */
  Optional<ServerLoad> cacheSource() {
    return cacheSource;
  }

  /** Returns the number of prompt tokens that the server has to prefill. */
  long uncachedTokens() {
    return uncachedTokens;
  }

  /** Returns whether the request was sent; if not, this attempt cannot have run it. */
  boolean isSent() {
    return connection.isPresent();
  }

  boolean ended() {
    return ended;
  }

  DualTimestamp startedAt() {
    return startedAt;
  }

  long elapsedMs() {
    return DualTimestamp.monotonicNowMs() - startedAt.monotonicMs();
  }

  void onSent(HttpConnection openConnection) {
    connection = Optional.of(openConnection);
  }

  void setReadEnabled(boolean enabled) {
    connection.ifPresent(opened -> opened.setReadEnabled(enabled));
  }

  /** Removes the prompt from the server's queued tokens, once. */
  void recordPrefilled() {
    if (!prefilled) {
      prefilled = true;
      load.recordPrefilled(uncachedTokens);
    }
  }

  /** Ends the attempt and removes it from the load of the server, once. */
  void end() {
    if (!ended) {
      ended = true;
      recordPrefilled();
      load.recordEnded();
    }
  }

  /** Ends the attempt and closes its connection, so that the server cancels the request. */
  void abandon() {
    end();
    connection.ifPresent(HttpConnection::abandon);
  }
}
