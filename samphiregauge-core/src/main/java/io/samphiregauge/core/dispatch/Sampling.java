package io.samphiregauge.core.dispatch;

import io.samphiregauge.core.RandomSource;
import java.util.ArrayList;
import java.util.List;

/** Chooses the servers that are compared for one request. */
@FunctionalInterface
public interface Sampling {
  /** Servers of the entry's failure domain that are compared, of each stage. */
  int LOCAL_SAMPLES = 3;

  /** Servers of other failure domains that are compared, of each stage, beside near ones. */
  int REMOTE_SAMPLES = 1;

  /**
   * Chooses candidates.
   *
   * @param servers all servers that may get the request
   * @param nowMs monotonic time
   * @return some of them; none only if there are none
   */
  List<ServerLoad> candidates(List<ServerLoad> servers, long nowMs);

  /**
   * Compares all servers. This is best while the known loads are current.
   *
   * @return a sampling that leaves out none
   */
  static Sampling all() {
    return (servers, nowMs) -> servers;
  }

  /**
   * Compares a few servers at random. With old loads, entries that compare all of them send
   * everything to the same server until the loads are next exchanged.
   *
   * @param domain failure domain of the entry
   * @param random draws the servers
   * @return a sampling that leaves out most servers
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
    List<ServerLoad> drawn = new ArrayList<>();
    while (drawn.size() < maxCount && !remaining.isEmpty()) {
      drawn.add(remaining.remove(random.nextIndex(remaining.size())));
    }
    return drawn;
  }
}
