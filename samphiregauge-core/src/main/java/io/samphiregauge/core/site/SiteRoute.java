package io.samphiregauge.core.site;

import java.util.List;

/**
 * A route: which requests it takes, where they go and how they are treated.
 *
 * @param name name of the route
 * @param host host name, in lower case
 * @param pathPrefix path that matches; it begins and ends with a slash
 * @param kind what may run again
 * @param timeoutMs longest time that a request may stay unanswered
 * @param targetLatencyMs time within which an answer is on time
 * @param priority rank of the route; 0 is the most urgent
 * @param shares services of the route, with their weights
 * @param maxAttempts most servers that one request may be sent to
 * @param publicAccess whether requests need no key
 */
public record SiteRoute(
    String name,
    String host,
    String pathPrefix,
    RequestKind kind,
    int timeoutMs,
    int targetLatencyMs,
    int priority,
    List<ServiceShare> shares,
    int maxAttempts,
    boolean publicAccess) {
  /** Copies the shares. */
  public SiteRoute {
    shares = List.copyOf(shares);
  }

  /**
   * Chooses the service of a request.
   *
   * @param draw random number of the request, 0 or greater
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
