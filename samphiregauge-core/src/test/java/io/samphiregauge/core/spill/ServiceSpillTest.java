package io.samphiregauge.core.spill;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiregauge.core.backend.BackendServer;
import io.samphiregauge.core.dispatch.Crossing;
import io.samphiregauge.core.dispatch.Sampling;
import io.samphiregauge.core.dispatch.ServerChooser;
import io.samphiregauge.core.dispatch.ServerLoad;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Requests of one entry in domain a, chosen with its flows. */
class ServiceSpillTest {
  /** A gigabyte is worth 5,000 s: 1 KB costs 5 ms and 17 KB cost 85 ms. */
  private static final TrafficCost COST = new TrafficCost(5_000, 0.02);

  private static final long SMALL = 400;
  private static final long LARGE = 17_000;
  private final ServiceSpill spill = new ServiceSpill("a", COST);
  private final List<ServerLoad> servers =
      Stream.of("a1", "a2", "b1", "b2", "c1", "c2").map(ServiceSpillTest::server).toList();
  private long nowMs = 100_000;

  private static ServerLoad server(String id) {
    String domain = id.substring(0, 1);
    return new ServerLoad(
        new BackendServer(
            id, 1, "s", "v1", "10.0.0.1:80", domain, 6, false, Optional.empty(), false),
        0,
        40);
  }

  private Stream<ServerLoad> in(String domain) {
    return servers.stream().filter(load -> load.server().domain().equals(domain));
  }

  private void setLoad(String domain, int inFlight) {
    in(domain).forEach(load -> load.setOtherEntriesLoad(inFlight, 0));
  }

  private void update(long durationMs) {
    for (long untilMs = nowMs + durationMs; nowMs < untilMs; nowMs += 250) {
      spill.update(servers, load -> load.slotWaitMs(40), domain -> 200, nowMs);
    }
  }

  private String chooseDomain(long bytes) {
    Crossing crossing = spill.crossing(new ServiceSpill.Request(bytes, 1, 0), nowMs);
    return new ServerChooser("a", Sampling.all(), crossing)
        .chooseServer(servers, nowMs)
        .orElseThrow()
        .server()
        .domain();
  }

  private long leaving(int requests, long bytes) {
    return Stream.generate(() -> chooseDomain(bytes))
        .limit(requests)
        .filter(domain -> !domain.equals("a"))
        .count();
  }

  /**
   * Guards against paid traffic without a gain. With the constant 6 ms, a request leaves as soon as
   * the local server has one request more, although both have free slots.
   */
  @Test
  void nothingLeavesWhileThereIsRoom() {
    setLoad("a", 3);
    setLoad("b", 1);
    setLoad("c", 1);
    update(3_000);
    assertThat(leaving(100, SMALL)).isZero();
  }

  /** Guards against a large request that leaves for a gain that only pays for small ones. */
  @Test
  void largeRequestsStayLonger() {
    setLoad("a", 30);
    update(3_000);
    // The wait of 60 ms is longer than the cost of 9 ms and shorter than that of 92 ms.
    setLoad("a", 14);
    setLoad("b", 5);
    setLoad("c", 5);
    assertThat(leaving(100, LARGE)).isZero();
    assertThat(leaving(100, SMALL)).isPositive();
  }

  /** Guards against entries that send all their work away at once because it pays for each. */
  @Test
  void onlyThePartOfTheFlowLeaves() {
    setLoad("a", 30);
    update(250);
    double share = spill.share("b") + spill.share("c");
    assertThat(share).isPositive();
    assertThat(leaving(1_000, SMALL)).isBetween((long) (800 * share), (long) (1_200 * share));
  }

  /** Guards against requests that fail although another domain could serve them. */
  @Test
  void requestLeavesIfItsDomainHasNoServer() {
    update(1_000);
    List<ServerLoad> remote = servers.stream().filter(l -> !in("a").toList().contains(l)).toList();
    Crossing crossing = spill.crossing(new ServiceSpill.Request(SMALL, 1, 0), nowMs);
    assertThat(crossing.permitted().apply(remote)).isNotEmpty();
  }

  /** Guards against a slow link: its delay counts, and is forgotten when it has ended. */
  @Test
  void delayOfALinkIsLearnedAndForgotten() {
    setLoad("a", 20);
    for (int i = 0; i < 12; i++) {
      in("a").forEach(load -> load.recordResponse(40));
      in("b").forEach(load -> load.recordResponse(440));
      in("c").forEach(load -> load.recordResponse(45));
      update(250);
    }
    assertThat(spill.share("b")).isZero();
    assertThat(spill.share("c")).isPositive();
    setLoad("a", 30);
    update(20_000);
    assertThat(spill.share("b")).isPositive();
  }

  /** Guards against a lossy link: requests that fail there cost a repetition. */
  @Test
  void failuresOfALinkAreLearned() {
    setLoad("a", 20);
    for (int i = 0; i < 12; i++) {
      in("b").forEach(load -> load.recordResponse(40));
      in("b").forEach(load -> load.recordFailure(0));
      in("c").forEach(load -> load.recordResponse(40));
      update(250);
    }
    assertThat(spill.share("b")).isZero();
    assertThat(spill.share("c")).isPositive();
  }
}
