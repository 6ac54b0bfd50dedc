package io.samphiregauge.standins;

import io.samphiregauge.schema.platform.WeightsAnswer;

/** Weight store whose transfers share one rate, one after the other. */
final class WeightStore {
  private static final long MS_PER_SECOND = 1_000;

  private long bytesPerSecond;
  private long freeAtMs;

  WeightStore(long bytesPerSecond) {
    this.bytesPerSecond = bytesPerSecond;
  }

  void setBytesPerSecond(long value) {
    bytesPerSecond = value;
  }

  /** A transfer that was accepted, and the time until it ends. */
  record Transfer(WeightsAnswer response, long completesInMs) {}

  Transfer queueTransfer(long bytes, long nowMs) {
    long startMs = Math.max(nowMs, freeAtMs);
    freeAtMs = startMs + bytes * MS_PER_SECOND / bytesPerSecond;
    return new Transfer(new WeightsAnswer(bytes, startMs - nowMs), freeAtMs - nowMs);
  }
}
