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

/** Sums usage on the event loops and hands the sums to the control thread. */
final class UsageAggregator implements UsageListener, AutoCloseable {
  /** One event for each token would flood the control thread. */
  private static final int FLUSH_INTERVAL_MS = 100;

  private static final long TOKENS_PER_PRICE = 1_000;

  private final EventLoopGroup loops;
  private final ControlLoop control;
  private final Map<Key, Sums> sums = new ConcurrentHashMap<>();
  private volatile boolean closed;

  private record Key(String team, String target) {}

  /** Sums since the last flush; the remainder of a price is carried to the next one. */
  private static final class Sums {
    private final LongAdder requests = new LongAdder();
    private final LongAdder promptTokens = new LongAdder();
    private final LongAdder outputTokens = new LongAdder();
    private long remainder;
  }

  UsageAggregator(EventLoopGroup loops, ControlLoop control) {
    this.loops = loops;
    this.control = control;
  }

  @Override
  public void add(String team, String model, long promptTokens, long outputTokens) {
    Sums to = sums.computeIfAbsent(new Key(team, model), key -> new Sums());
    if (outputTokens == 0) {
      to.requests.increment();
    }
    to.promptTokens.add(promptTokens);
    to.outputTokens.add(outputTokens);
  }

  /** Hands over the sums now and each 100 ms, until it is closed; runs on one event loop. */
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

  private void postUsage(ConfigView config, Key key, Sums sum) {
    long requests = sum.requests.sumThenReset();
    long prompt = sum.promptTokens.sumThenReset();
    long output = sum.outputTokens.sumThenReset();
    if (requests + prompt + output == 0) {
      return;
    }
    long scaled = sum.remainder + scaledPrice(config, key.target(), prompt, output);
    sum.remainder = scaled % TOKENS_PER_PRICE;
    long spend = scaled / TOKENS_PER_PRICE;
    UsageFigure figure = new UsageFigure(key.team(), key.target(), requests, prompt, output, spend);
    control.post(new CoordinatorEvent.UsageRecorded(figure));
  }

  private static long scaledPrice(ConfigView config, String target, long prompt, long output) {
    return config
        .model(target)
        .map(m -> prompt * m.getPromptPriceMicros() + output * m.getOutputPriceMicros())
        .orElse(0L);
  }
}
