package io.samphiregauge.core.backend;

/** Stage of request processing that a model engine runs. */
public enum EngineStage {
  /** Prefills prompts and transfers their KV cache to another engine. */
  PREFILL,
  /** Generates tokens; can also prefill, at a lower rate. */
  DECODE
}
