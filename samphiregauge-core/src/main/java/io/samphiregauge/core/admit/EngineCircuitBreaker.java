package io.samphiregauge.core.admit;

import io.samphiregauge.core.RandomSource;
import java.util.HashMap;
import java.util.Map;

/**
 * Circuit breaker per engine: blocks requests to an engine after consecutive failures. After a
 * jittered delay, which doubles with each further failure, one request probes the engine. Not
 * thread-safe.
 */
public final class EngineCircuitBreaker {
  private static final int FAILURES_TO_OPEN = 3;
  private static final long OPEN_MS = 1_000;
  private static final long MAX_OPEN_MS = 16_000;

  private static final class State {
    private int failures;
    private long openMs = OPEN_MS;
    private long openUntilMs = Long.MIN_VALUE;
    private boolean probing;
  }

  private final Map<String, State> engines = new HashMap<>();
  private final RandomSource random;

  /** Creates a breaker that is closed for all engines. */
  public EngineCircuitBreaker(RandomSource random) {
    this.random = random;
  }

  /**
   * Returns whether a request may be sent to an engine.
   *
   * @param engine name of the engine
   * @param nowMs time in milliseconds
   * @return false while the breaker is open or another request probes the engine
   */
  public boolean allowsRequest(String engine, long nowMs) {
    State state = engines.get(engine);
    boolean open = state != null && state.failures >= FAILURES_TO_OPEN;
    return !open || (nowMs >= state.openUntilMs && !state.probing);
  }

  /**
   * Records that a request is sent to an engine; while the breaker is open it becomes the probe.
   */
  public void recordSent(String engine) {
    State state = engines.get(engine);
    if (state != null && state.failures >= FAILURES_TO_OPEN) {
      state.probing = true;
    }
  }

  /** Records a response of the engine, including a rejection, and closes its breaker. */
  public void recordResponse(String engine) {
    engines.remove(engine);
  }

  /**
   * Records a failed connection, a broken stream or a timeout.
   *
   * @param engine name of the engine
   * @param nowMs time in milliseconds
   */
  public void recordFailure(String engine, long nowMs) {
    State state = engines.computeIfAbsent(engine, name -> new State());
    state.failures++;
    state.probing = false;
    if (state.failures < FAILURES_TO_OPEN) {
      return;
    }
    if (state.failures > FAILURES_TO_OPEN) {
      state.openMs = Math.min(MAX_OPEN_MS, 2 * state.openMs);
    }
    state.openUntilMs = nowMs + (long) (state.openMs * (0.5 + 0.5 * random.nextDouble()));
  }
}
