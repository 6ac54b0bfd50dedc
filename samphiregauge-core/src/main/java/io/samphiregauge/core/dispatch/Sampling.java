package io.samphiregauge.core.dispatch;

import io.samphiregauge.core.RandomSource;
import java.util.ArrayList;
import java.util.List;

/** Selects the candidate servers whose costs are compared for one request. */
@FunctionalInterface
public interface Sampling {
  /** Servers sampled per engine stage from the failure domain of the entry. */
  int LOCAL_SAMPLES = 3;

  /** Servers sampled per engine stage from other failure domains, in addition to local ones. */
  int REMOTE_SAMPLES = 1;

  /**
   * Selects candidates.
   *
   * @param servers all servers that may handle the request
   * @param nowMs monotonic time in milliseconds
   * @return a subset of the servers; empty only if there are no servers
   */
  List<ServerLoad> candidates(List<ServerLoad> servers, long nowMs);

  /**
   * Selects all servers. This gives the best choice while the known loads are current.
   *
   * @return a sampling without exclusions
   */
  static Sampling all() {
    return (servers, nowMs) -> servers;
  }

  /**
   * Selects a few servers at random, preferring servers that are not avoided. With stale loads,
   * entries that compare all servers would send every request to the same server until the next
   * load exchange.
   *
   * @param domain failure domain of the entry
   * @param random source of randomness for the sample
   * @return a sampling of at most {@link #LOCAL_SAMPLES} local and {@link #REMOTE_SAMPLES} remote
   *     servers per stage; {@link #LOCAL_SAMPLES} remote ones if none is local
   */
  static Sampling randomSubset(String domain, RandomSource random) {
    return (servers, nowMs) -> {
      List<ServerLoad> healthy = servers.stream().filter(load -> !load.isAvoided(nowMs)).toList();
      List<ServerLoad> chosen = new ArrayList<>();
      for (boolean prefillOnly : new boolean[] {false, true}) {
        List<ServerLoad> local = new ArrayList<>();
        List<ServerLoad> remote = new ArrayList<>();
        for (ServerLoad load : healthy.isEmpty() ? servers : healthy) {
          if (load.server().prefillOnly() == prefillOnly) {
            (load.server().domain().equals(domain) ? local : remote).add(load);
          }
        }
        int maxRemote = local.isEmpty() ? LOCAL_SAMPLES : REMOTE_SAMPLES;
        chosen.addAll(sample(local, LOCAL_SAMPLES, random));
        chosen.addAll(sample(remote, maxRemote, random));
      }
      return chosen;
    };
  }

  private static List<ServerLoad> sample(
      List<ServerLoad> population, int maxCount, RandomSource random) {
    List<ServerLoad> remaining = new ArrayList<>(population);
    List<ServerLoad> sampled = new ArrayList<>();
    while (sampled.size() < maxCount && !remaining.isEmpty()) {
      sampled.add(remaining.remove(random.nextIndex(remaining.size())));
    }
    return sampled;
  }
}
