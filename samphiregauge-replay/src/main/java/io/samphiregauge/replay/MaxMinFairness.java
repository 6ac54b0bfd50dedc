package io.samphiregauge.replay;

/** Max-min fair division of capacity. */
final class MaxMinFairness {
  private MaxMinFairness() {}

  /**
   * Returns the max-min fair share of each demand: all shares are equal, except that no share
   * exceeds its demand and the remainder is divided among the others.
   *
   * @param demands demands in the unit of the capacity
   * @param capacity capacity to divide
   * @return shares in the order of the demands
   */
  static double[] shares(double[] demands, double capacity) {
    double[] shares = new double[demands.length];
    double remaining = capacity;
    boolean unsatisfied = true;
    while (remaining > 1e-9 && unsatisfied) {
      int unsatisfiedDemands = 0;
      for (int i = 0; i < demands.length; i++) {
        unsatisfiedDemands += shares[i] < demands[i] - 1e-9 ? 1 : 0;
      }
      unsatisfied = unsatisfiedDemands > 0;
      double equalPart = unsatisfied ? remaining / unsatisfiedDemands : 0;
      for (int i = 0; i < demands.length; i++) {
        double added = Math.min(equalPart, demands[i] - shares[i]);
        shares[i] += added;
        remaining -= added;
      }
    }
    return shares;
  }
}
