package io.samphiregauge.core.admit;

import io.samphiregauge.core.RandomSource;
import java.util.HashMap;
import java.util.Map;

/**
 * Keeps requests away from an engine that fails or does not answer, so that it takes no requests
 * down with it. After a jittered time one request probes it. Used by one thread.
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

  /** Makes a breaker that lets everything pass. */
  public EngineCircuitBreaker(RandomSource random) {
    this.random = random;
  }

  /**
   * Tells whether a request may go to an engine.
   *
   * @param engine name of the engine
   * @param nowMs time
   * @return false while it is kept away, or while another request probes it
   */
  public boolean allowsRequest(String engine, long nowMs) {
    State state = engines.get(engine);
    boolean open = state != null && state.failures >= FAILURES_TO_OPEN;
    return !open || (nowMs >= state.openUntilMs && !state.probing);
  }

  /** Notes that a request goes to an engine; the first one after a pause is the probe. */
  public void recordSent(String engine) {
    State state = engines.get(engine);
    if (state != null && state.failures >= FAILURES_TO_OPEN) {
      state.probing = true;
    }
  }

  /** Notes an answer, or a refusal that the engine gave itself. */
  public void recordResponse(String engine) {
    engines.remove(engine);
  }

  /**
   * Notes a failed connection, a broken stream or a timeout.
   *
   * @param engine name of the engine
   * @param nowMs time
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
