package io.samphiregauge.core.dispatch;

import io.samphiregauge.core.RandomSource;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Chooses the servers that are compared for one request. */
@FunctionalInterface
public interface Sampling {
  /** Servers of the entry's failure domain that are compared, of each stage. */
  int NEAR = 3;

  /** Servers of other failure domains that are compared, of each stage. */
  int FAR = 1;

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
  static Sampling few(String domain, RandomSource random) {
    return (servers, nowMs) -> {
      List<ServerLoad> healthy = servers.stream().filter(load -> !load.avoided(nowMs)).toList();
      Map<String, List<ServerLoad>> groups = new LinkedHashMap<>();
      for (ServerLoad load : healthy.isEmpty() ? servers : healthy) {
        groups.computeIfAbsent(group(load, domain), name -> new ArrayList<>()).add(load);
      }
      List<ServerLoad> chosen = new ArrayList<>();
      for (List<ServerLoad> group : groups.values()) {
        int most = group.get(0).server().domain().equals(domain) ? NEAR : FAR;
        for (int i = 0; i < most && !group.isEmpty(); i++) {
          chosen.add(group.remove(random.nextIndex(group.size())));
        }
      }
      return chosen;
    };
  }

  private static String group(ServerLoad load, String domain) {
    boolean near = load.server().domain().equals(domain);
    return (near ? "near" : "far") + (load.server().prefillOnly() ? "/prefill" : "");
  }
}
