package io.samphiregauge.core.fleet;

/**
 * Forecasts offered work from samples at equal intervals, with a smoothed level and a smoothed
 * trend.
 */
public final class LoadForecast {
  /** A trend is carried on for at most so many intervals; a longer one overshoots each swing. */
  private static final double MAX_TREND_INTERVALS = 20;

  private final Series prefill;
  private final Series output;

  private LoadForecast(double levelWeight, double trendWeight) {
    this.prefill = new Series(levelWeight, trendWeight);
    this.output = new Series(levelWeight, trendWeight);
  }

  /** Follows a swing within seconds, for role changes. */
  public static LoadForecast fast() {
    return new LoadForecast(0.25, 0.08);
  }

  /** Follows a swing within half a minute, for orders that take a minute; ignores bursts. */
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

  /** Adds the demand of the last interval. */
  public void add(Demand demand) {
    prefill.add(demand.prefillTokensPerSecond());
    output.add(demand.outputTokensPerSecond());
  }

  /**
   * Forecasts the demand.
   *
   * @param intervals intervals from now; 0 for the smoothed demand of now
   * @return the expected demand
   */
  public Demand forecast(double intervals) {
    return new Demand(prefill.forecast(intervals), output.forecast(intervals));
  }
}
