package io.samphiregauge.standins;

import io.samphiregauge.schema.platform.WeightsAnswer;

/** Simulates a weight store that runs transfers one at a time at a fixed rate. */
final class WeightStore {
  private static final long MS_PER_SECOND = 1_000;

  private long bytesPerSecond;
  private long idleAtMs;

  WeightStore(long bytesPerSecond) {
    this.bytesPerSecond = bytesPerSecond;
  }

  void setBytesPerSecond(long value) {
    bytesPerSecond = value;
  }

  /** An accepted transfer, with the milliseconds until it completes. */
  record Transfer(WeightsAnswer response, long completesInMs) {}

  Transfer queueTransfer(long bytes, long nowMs) {
    long startMs = Math.max(nowMs, idleAtMs);
    idleAtMs = startMs + bytes * MS_PER_SECOND / bytesPerSecond;
    return new Transfer(new WeightsAnswer(bytes, startMs - nowMs), idleAtMs - nowMs);
  }
}
