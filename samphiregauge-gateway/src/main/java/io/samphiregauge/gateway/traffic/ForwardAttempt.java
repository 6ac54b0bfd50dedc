package io.samphiregauge.gateway.traffic;

import io.samphiregauge.core.dispatch.ServerChooser;
import io.samphiregauge.core.dispatch.ServerLoad;
import io.samphiregauge.gateway.DualTimestamp;
import io.samphiregauge.net.HttpConnection;
import java.util.Optional;

/** One send of a request to one server, and what it adds to the server's load until it ends. */
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

  /** Begins a send that needs no prompt read, or whose prompt was prefilled elsewhere. */
  static ForwardAttempt withoutPrefill(ServerLoad load) {
    return new ForwardAttempt(load, 0, false, Optional.empty());
  }

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

  /** Returns the engine from whose cache the server fetches parts of the prompt. */
  Optional<ServerLoad> cacheSource() {
    return cacheSource;
  }

  /** Returns the prompt tokens that the server has to prefill. */
  long uncachedTokens() {
    return uncachedTokens;
  }

  /** Returns whether the request went out; before that it cannot have run. */
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
    connection.ifPresent(open -> open.setReadEnabled(enabled));
  }

  /** Notes that the engine has prefilled the prompt. */
  void recordPrefilled() {
    if (!prefilled) {
      prefilled = true;
      load.recordPrefilled(uncachedTokens);
    }
  }

  /** Takes the attempt off the server's load. */
  void end() {
    if (!ended) {
      ended = true;
      recordPrefilled();
      load.recordEnded();
    }
  }

  /** Ends the attempt and closes its connection, which makes the server drop the request. */
  void abandon() {
    end();
    connection.ifPresent(HttpConnection::abandon);
  }
}
