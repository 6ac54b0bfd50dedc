package io.samphiregauge.core.fleet;

/**
 * Forecasts offered work from samples at equal intervals, with a smoothed level and a smoothed
 * trend.
 */
public final class LoadForecast {
  private static final double LEVEL_WEIGHT = 0.25;
  private static final double TREND_WEIGHT = 0.08;

  /** A trend is carried on for at most so many intervals; a longer one overshoots each swing. */
  private static final double MAX_TREND_INTERVALS = 20;

  private final Series prefill = new Series();
  private final Series output = new Series();

  private static final class Series {
    private double level;
    private double trend;
    private boolean started;

    private void add(double value) {
      if (!started) {
        level = value;
        started = true;
        return;
      }
      double before = level;
      level += LEVEL_WEIGHT * (value - level);
      trend += TREND_WEIGHT * (level - before - trend);
    }

    private double after(double intervals) {
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
  public Demand after(double intervals) {
    return new Demand(prefill.after(intervals), output.after(intervals));
  }
}
