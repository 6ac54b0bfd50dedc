package io.samphiregauge.gateway.traffic;

import io.samphiregauge.core.dispatch.ServerChooser;
import io.samphiregauge.core.dispatch.ServerLoad;
import io.samphiregauge.gateway.DualTimestamp;
import io.samphiregauge.net.HttpConnection;
import java.util.Optional;

/** One send of a request to one server, and what it adds to the server's load until it ends. */
final class Attempt {
  private final ServerLoad load;
  private final long promptTokens;
  private final boolean prefillOnly;
  private final Optional<ServerLoad> cacheSource;
  private final DualTimestamp sent = DualTimestamp.now();
  private Optional<HttpConnection> connection = Optional.empty();
  private boolean prefilled;
  private boolean ended;

  private Attempt(
      ServerLoad load, long promptTokens, boolean prefillOnly, Optional<ServerLoad> cacheSource) {
    this.load = load;
    this.promptTokens = promptTokens;
    this.prefillOnly = prefillOnly;
    this.cacheSource = cacheSource;
    load.recordSent(promptTokens);
  }

  /** Begins a send that needs no prompt read, or whose prompt was prefilled elsewhere. */
  static Attempt run(ServerLoad load) {
    return new Attempt(load, 0, false, Optional.empty());
  }

  static Attempt of(ServerChooser.PromptPlan plan) {
    return new Attempt(
        plan.server(), plan.uncachedTokens(), plan.isPrefillOnly(), plan.cacheSource());
  }

  ServerLoad load() {
    return load;
  }

  boolean prefillOnly() {
    return prefillOnly;
  }

  /** Returns the engine from whose cache the server fetches parts of the prompt. */
  Optional<ServerLoad> cacheSource() {
    return cacheSource;
  }

  /** Returns the prompt tokens that the server has to prefill. */
  long promptTokens() {
    return promptTokens;
  }

  /** Returns whether the request went out; before that it cannot have run. */
  boolean written() {
    return connection.isPresent();
  }

  boolean ended() {
    return ended;
  }

  DualTimestamp sent() {
    return sent;
  }

  long tookMs() {
    return DualTimestamp.monotonicNowMs() - sent.monotonicMs();
  }

  void writtenTo(HttpConnection open) {
    connection = Optional.of(open);
  }

  void setReading(boolean on) {
    connection.ifPresent(open -> open.setReadEnabled(on));
  }

  /** Notes that the engine has prefilled the prompt. */
  void prefilled() {
    if (!prefilled) {
      prefilled = true;
      load.recordPrefilled(promptTokens);
    }
  }

  /** Takes the attempt off the server's load. */
  void end() {
    if (!ended) {
      ended = true;
      prefilled();
      load.recordEnded();
    }
  }

  /** Ends the attempt and closes its connection, which makes the server drop the request. */
  void abandon() {
    end();
    connection.ifPresent(HttpConnection::abandon);
  }
}
