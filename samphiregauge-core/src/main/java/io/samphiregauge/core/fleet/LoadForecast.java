package io.samphiregauge.core.fleet;

/**
 * Forecasts demand from samples at equal intervals by exponential smoothing of its level and trend.
 * Not thread-safe.
 */
public final class LoadForecast {
  /** Maximum number of extrapolated intervals; more would overshoot every swing of the demand. */
  private static final double MAX_TREND_INTERVALS = 20;

  private final Series prefill;
  private final Series output;

  private LoadForecast(double levelWeight, double trendWeight) {
    this.prefill = new Series(levelWeight, trendWeight);
    this.output = new Series(levelWeight, trendWeight);
  }

  /** Creates a forecast that follows a swing within seconds, for role changes. */
  public static LoadForecast fast() {
    return new LoadForecast(0.25, 0.08);
  }

  /**
   * Creates a forecast that follows a swing within half a minute and ignores bursts, for orders
   * that take a minute.
   */
  public static LoadForecast slow() {
    return new LoadForecast(0.06, 0.01);
  }

  private static final class Series {
    private final double levelWeight;
    private final double trendWeight;
    private double level;
    private double trend;
    private boolean started;

    private Series(double levelWeight, double trendWeight) {
      this.levelWeight = levelWeight;
      this.trendWeight = trendWeight;
    }

    private void add(double value) {
      if (!started) {
        level = value;
        started = true;
        return;
      }
      double previousLevel = level;
      level += levelWeight * (value - level);
      trend += trendWeight * (level - previousLevel - trend);
    }

    private double forecast(double intervals) {
      return Math.max(0, level + trend * Math.min(MAX_TREND_INTERVALS, intervals));
    }
  }

  /** Adds the demand of the last interval to the level and the trend. */
  public void add(Demand demand) {
    prefill.add(demand.prefillTokensPerSecond());
    output.add(demand.outputTokensPerSecond());
  }

  /**
   * Forecasts the demand.
   *
   * @param intervals number of intervals from now; 0 for the smoothed current demand
   * @return the expected demand
   */
  public Demand forecast(double intervals) {
    return new Demand(prefill.forecast(intervals), output.forecast(intervals));
  }
}
