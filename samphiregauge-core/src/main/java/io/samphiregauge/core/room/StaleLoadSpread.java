package io.samphiregauge.core.room;

import io.samphiregauge.core.RandomSource;
import io.samphiregauge.core.dispatch.ServerLoad;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.ToDoubleFunction;

/**
 * Spreads the requests of one service over servers whose known loads are old. Performs no I/O.
 *
 * <p>If all entries chose the server with the lowest known load, it would receive all requests
 * until the next exchange of loads, be full, and then receive none while it drains. Instead a
 * request takes the place that an earlier one of this entry has given back, which this entry knows
 * at once. Only so many requests leave their server that the known loads become equal within the
 * age of known loads. A request without such a place goes to a server drawn by what it lacks to the
 * level that all servers reach together.
 */
final class StaleLoadSpread {
  /** Bounds the remembered places; an entry rarely has more requests at one service. */
  private static final int MAX_FREED = 256;

  private final Deque<Freed> freed = new ArrayDeque<>();

  private record Freed(ServerLoad load, long atMs) {}

  /** Records that a server has answered a request of this entry, and so has a place. */
  void recordFreed(ServerLoad load, long nowMs) {
    freed.addLast(new Freed(load, nowMs));
    if (freed.size() > MAX_FREED) {
      freed.removeFirst();
    }
  }

  /**
   * Chooses the server of one request.
   *
   * @param servers the servers, at least one
   * @param expectedRequests requests of all entries that are expected within the age of known loads
   * @param maxAgeMs age that known loads can reach
   * @param random random numbers
   * @param nowMs current time
   * @return the server
   */
  ServerLoad choose(
      List<ServerLoad> servers,
      double expectedRequests,
      long maxAgeMs,
      RandomSource random,
      long nowMs) {
    double perServer = Math.max(1, expectedRequests) / servers.size();
    double mean = servers.stream().mapToInt(StaleLoadSpread::waiting).average().orElse(0);
    Optional<ServerLoad> place = takeFreed(servers, nowMs - maxAgeMs);
    if (place.isEmpty()) {
      return draw(servers, load -> mean + perServer - waiting(load), random);
    }
    double excess = waiting(place.orElseThrow()) - mean;
    return random.nextDouble() * perServer >= excess
        ? place.orElseThrow()
        : draw(servers, load -> mean - waiting(load), random);
  }

  private Optional<ServerLoad> takeFreed(List<ServerLoad> servers, long oldestMs) {
    while (!freed.isEmpty()) {
      Freed first = freed.removeFirst();
      if (first.atMs() >= oldestMs && servers.contains(first.load())) {
        return Optional.of(first.load());
      }
    }
    return Optional.empty();
  }

  private static ServerLoad draw(
      List<ServerLoad> servers, ToDoubleFunction<ServerLoad> lack, RandomSource random) {
    double[] weights =
        servers.stream().mapToDouble(load -> Math.max(0, lack.applyAsDouble(load))).toArray();
    double sum = 0;
    for (double weight : weights) {
      sum += weight;
    }
    double drawn = random.nextDouble() * sum;
    for (int i = 0; i < weights.length; i++) {
      drawn -= weights[i];
      if (drawn < 0) {
        return servers.get(i);
      }
    }
    return servers.get(random.nextIndex(servers.size()));
  }

  /** Returns the known requests beyond those that run concurrently; negative with free slots. */
  private static int waiting(ServerLoad load) {
    return load.totalInFlight() - load.server().slots();
  }
}
