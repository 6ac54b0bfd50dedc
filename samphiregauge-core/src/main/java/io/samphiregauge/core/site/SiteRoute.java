package io.samphiregauge.core.site;

import java.util.List;

/**
 * A route: the requests that it matches, their destination services and how they are handled.
 *
 * @param name name of the route
 * @param host host name, in lower case
 * @param pathPrefix path prefix to match, which starts and ends with a slash
 * @param kind kind of the requests, which determines whether they may be retried
 * @param timeoutMs maximum duration of a request, in milliseconds
 * @param targetLatencyMs latency up to which a response counts as on time, in milliseconds
 * @param patienceMs time without progress after which callers abandon a request, in milliseconds
 * @param priority priority of the route; 0 is the highest
 * @param shares destination services with their weights
 * @param maxAttempts maximum number of servers to which a request is sent
 * @param publicAccess whether requests are accepted without a key
 */
public record SiteRoute(
    String name,
    String host,
    String pathPrefix,
    RequestKind kind,
    int timeoutMs,
    int targetLatencyMs,
    int patienceMs,
    int priority,
    List<ServiceShare> shares,
    int maxAttempts,
    boolean publicAccess) {
  /** Makes a defensive copy of the list of shares. */
  public SiteRoute {
    shares = List.copyOf(shares);
  }

  /**
   * Selects the service of a request at random, in proportion to the weights. If all weights are 0,
   * the first service is selected.
   *
   * @param draw random number, not negative
   * @return name of the service
   */
  public String selectService(long draw) {
    long total = shares.stream().mapToLong(ServiceShare::weight).sum();
    if (total <= 0) {
      return shares.get(0).service();
    }
    long remaining = draw % total;
    for (ServiceShare share : shares) {
      remaining -= share.weight();
      if (remaining < 0) {
        return share.service();
      }
    }
    return shares.get(shares.size() - 1).service();
  }
}
