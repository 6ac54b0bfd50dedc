package io.samphiregauge.gateway.traffic;

import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.dispatch.EngineRates;
import io.samphiregauge.core.dispatch.ServerChooser;
import io.samphiregauge.core.dispatch.ServerLoad;
import io.samphiregauge.gateway.port.KvSource;
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
  private final Optional<KvSource> kvSource;
  private final Optional<ServerLoad> backup;
  private final long queuedTokens;
  private final DualTimestamp startedAt = DualTimestamp.now();
  private Optional<HttpConnection> connection = Optional.empty();
  private boolean connectionReused;
  private long firstTokenMs;
  private boolean prefilled;
  private boolean ended;

  private ForwardAttempt(
      ServerLoad load,
      long uncachedTokens,
      boolean prefillOnly,
      Optional<ServerLoad> cacheSource,
      Optional<KvSource> kvSource,
      Optional<ServerLoad> backup) {
    this.load = load;
    this.uncachedTokens = uncachedTokens;
    this.prefillOnly = prefillOnly;
    this.cacheSource = cacheSource;
    this.kvSource = kvSource;
    this.backup = backup;
    load.recordSent(uncachedTokens);
    this.queuedTokens = load.totalPromptTokens();
  }

  /** Starts an attempt of a request without a prompt. */
  static ForwardAttempt withoutPrompt(ServerLoad load) {
    return new ForwardAttempt(load, 0, false, Optional.empty(), Optional.empty(), Optional.empty());
  }

  /**
   * Starts an attempt that continues from a KV cache.
   *
   * @param load the engine that decodes
   * @param kvSource the KV cache
   * @param backup engine that receives a copy of the KV cache while the request runs
   */
  static ForwardAttempt fromKvCache(
      ServerLoad load, KvSource kvSource, Optional<ServerLoad> backup) {
    return new ForwardAttempt(load, 0, false, Optional.empty(), Optional.of(kvSource), backup);
  }

  /**
   * Starts an attempt that prefills the prompt as planned.
   *
   * @param plan the engine that prefills, and what it has cached
   * @param backup engine that receives a copy of the KV cache while the request runs
   */
  static ForwardAttempt fromPlan(ServerChooser.PromptPlan plan, Optional<ServerLoad> backup) {
    return new ForwardAttempt(
        plan.server(),
        plan.uncachedTokens(),
        plan.isPrefillOnly(),
        plan.cacheSource(),
        Optional.empty(),
        plan.isPrefillOnly() ? Optional.empty() : backup);
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

  /** Returns the KV cache from which the engine starts to decode, if any. */
  Optional<KvSource> kvSource() {
    return kvSource;
  }

  /** Returns the engine that receives a copy of the KV cache while the request runs, if any. */
  Optional<ServerLoad> backup() {
    return backup;
  }

  /** Returns the number of prompt tokens that the server has to prefill. */
  long uncachedTokens() {
    return uncachedTokens;
  }

  /**
   * Records that the engine has prefilled the prompt, or produced the first token from a KV cache.
   *
   * @param rates rates of the service's engines
   */
  void recordFirstToken(EngineRates rates) {
    firstTokenMs = elapsedMs();
    if (kvSource.isPresent()) {
      rates.recordHandover(load, (double) elapsedMs());
    } else if (uncachedTokens > 0) {
      rates.recordPrefill(load, (double) queuedTokens, (double) elapsedMs());
    }
  }

  /**
   * Records that the engine has generated the whole response.
   *
   * @param rates rates of the service's engines
   */
  void recordRun(EngineRates rates) {
    rates.recordRun(elapsedMs() - firstTokenMs);
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
    connectionReused = openConnection.wasUsed();
  }

  /** Returns whether the connection has carried a response before this attempt. */
  boolean connectionReused() {
    return connectionReused;
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
