package io.samphiregauge.core.backend;

/** The part of a request's work that a model engine does. */
public enum EngineStage {
  /** Prefills prompts and hands their KV cache to another engine. */
  PREFILL,
  /** Generates tokens; it can prefill as well, at a lower rate. */
  DECODE
}
