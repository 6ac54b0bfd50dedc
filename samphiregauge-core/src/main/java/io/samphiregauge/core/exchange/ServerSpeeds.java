package io.samphiregauge.core.exchange;

import io.samphiregauge.schema.peer.ServerSpeed;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** Sums of the speeds of backend servers that several entries have seen. */
final class ServerSpeeds {
  private ServerSpeeds() {}

  /** Returns the sum of several lists; invalid figures are left out. */
  static List<ServerSpeed> sum(Stream<List<ServerSpeed>> parts) {
    Map<Integer, ServerSpeed> sums = new HashMap<>();
    parts.forEach(
        part ->
            part.stream()
                .filter(ServerSpeeds::isValid)
                .forEach(speed -> sums.merge(speed.getBackend(), speed, ServerSpeeds::add)));
    return List.copyOf(sums.values());
  }

  private static boolean isValid(ServerSpeed speed) {
    return speed.getResponses() > 0
        && speed.getSlownessSum() >= 0
        && Double.isFinite(speed.getSlownessSum());
  }

  private static ServerSpeed add(ServerSpeed first, ServerSpeed second) {
    return new ServerSpeed(
        first.getBackend(),
        first.getResponses() + second.getResponses(),
        first.getSlownessSum() + second.getSlownessSum());
  }
}
