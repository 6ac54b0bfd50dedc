package io.samphiregauge.daemon;

import io.netty.channel.EventLoopGroup;
import io.samphiregauge.core.config.ConfigView;
import io.samphiregauge.core.control.CoordinatorEvent;
import io.samphiregauge.daemon.traffic.UsageListener;
import io.samphiregauge.schema.record.UsageFigure;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

/**
 * Sums the usage that the event loops report, by team and model, and posts the sums to the control
 * thread in batches. {@link #add} may be called from any thread.
 */
final class UsageBatcher implements UsageListener, AutoCloseable {
  /** Batches usage, since one event per token would overload the control thread. */
  private static final int FLUSH_INTERVAL_MS = 100;

  /** Prices are given in micros per this number of tokens. */
  private static final long TOKENS_PER_PRICE = 1_000;

  private final EventLoopGroup loops;
  private final ControlLoop control;
  private final Map<UsageKey, UsageSums> sums = new ConcurrentHashMap<>();
  private volatile boolean closed;

  private record UsageKey(String team, String target) {}

  /**
   * Usage since the last flush; the fraction of a micro not yet posted carries over to the next.
   */
  private static final class UsageSums {
    private final LongAdder requests = new LongAdder();
    private final LongAdder promptTokens = new LongAdder();
    private final LongAdder outputTokens = new LongAdder();
    private long remainder;
  }

  UsageBatcher(EventLoopGroup loops, ControlLoop control) {
    this.loops = loops;
    this.control = control;
  }

  @Override
  public void add(String team, String model, long promptTokens, long outputTokens) {
    UsageSums sum = sums.computeIfAbsent(new UsageKey(team, model), key -> new UsageSums());
    if (outputTokens == 0) {
      sum.requests.increment();
    }
    sum.promptTokens.add(promptTokens);
    sum.outputTokens.add(outputTokens);
  }

  /** Posts the usage now and then every 100 ms until it is closed; runs on one event loop. */
  void flush() {
    ConfigView config = control.snapshot().state().config();
    sums.forEach((key, sum) -> postUsage(config, key, sum));
    if (!closed) {
      loops.schedule(this::flush, FLUSH_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }
  }

  @Override
  public void close() {
    closed = true;
  }

  private void postUsage(ConfigView config, UsageKey key, UsageSums sum) {
    long requests = sum.requests.sumThenReset();
    long promptTokens = sum.promptTokens.sumThenReset();
    long outputTokens = sum.outputTokens.sumThenReset();
    if (requests + promptTokens + outputTokens == 0) {
      return;
    }
    long scaledSpend =
        sum.remainder + scaledPrice(config, key.target(), promptTokens, outputTokens);
    sum.remainder = scaledSpend % TOKENS_PER_PRICE;
    long spend = scaledSpend / TOKENS_PER_PRICE;
    UsageFigure figure =
        new UsageFigure(key.team(), key.target(), requests, promptTokens, outputTokens, spend);
    control.post(new CoordinatorEvent.UsageRecorded(figure));
  }

  private static long scaledPrice(
      ConfigView config, String target, long promptTokens, long outputTokens) {
    return config
        .model(target)
        .map(
            pricing ->
                promptTokens * pricing.getPromptPriceMicros()
                    + outputTokens * pricing.getOutputPriceMicros())
        .orElse(0L);
  }
}
