package io.samphiregauge.replay;

/** Divides capacity in max-min order. */
final class MaxMinFairness {
  private MaxMinFairness() {}

  /**
   * Gives each demand its max-min share of a capacity: all get the same, except that none gets more
   * than its demand.
   *
   * @param demands demands
   * @param capacity capacity to divide
   * @return shares in the order of the demands
   */
  static double[] shares(double[] demands, double capacity) {
    double[] shares = new double[demands.length];
    double left = capacity;
    boolean grew = true;
    while (left > 1e-9 && grew) {
      int open = 0;
      for (int i = 0; i < demands.length; i++) {
        open += shares[i] < demands[i] - 1e-9 ? 1 : 0;
      }
      grew = open > 0;
      double each = grew ? left / open : 0;
      for (int i = 0; i < demands.length; i++) {
        double more = Math.min(each, demands[i] - shares[i]);
        shares[i] += more;
        left -= more;
      }
    }
    return shares;
  }
}
