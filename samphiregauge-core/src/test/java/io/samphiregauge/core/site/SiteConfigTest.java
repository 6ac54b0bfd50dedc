package io.samphiregauge.core.site;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class SiteConfigTest {
  private static SiteRoute route(String name, String host, String prefix, ServiceShare... shares) {
    return new SiteRoute(
        name,
        host,
        prefix,
        RequestKind.IDEMPOTENT,
        1_000,
        100,
        1_000,
        0,
        List.of(shares),
        1,
        false);
  }

  private static SiteConfig config(SiteRoute... routes) {
    return new SiteConfig(
        1,
        List.of(routes),
        List.of(),
        Optional.of(Map.of("k", new Team("t", 0))),
        Optional.empty());
  }

  private static Optional<String> routeName(SiteConfig config, String host, String path) {
    return config.findRoute(host, path).map(SiteRoute::name);
  }

  /** A shorter prefix must not hide the route of a longer one. */
  @Test
  void longestPrefixOfTheHostWins() {
    SiteConfig config =
        config(
            route("short", "a.example", "/x/"),
            route("long", "a.example", "/x/y/"),
            route("other", "b.example", "/x/y/z/"));
    assertThat(routeName(config, "a.example", "/x/y/z/1")).contains("long");
    assertThat(routeName(config, "a.example", "/x/yy")).contains("short");
    assertThat(routeName(config, "A.Example:8080", "/x/1")).contains("short");
    assertThat(routeName(config, "a.example", "/x")).isEmpty();
    assertThat(routeName(config, "c.example", "/x/1")).isEmpty();
  }

  /** Guards against a service that receives more or less than its share of the requests. */
  @Test
  void selectsServicesInProportionToTheirWeights() {
    SiteRoute route =
        route("r", "a", "/", new ServiceShare("most", 90), new ServiceShare("rest", 10));
    long most = 0;
    for (long draw = 0; draw < 1_000; draw++) {
      most += route.selectService(draw).equals("most") ? 1 : 0;
    }
    assertThat(most).isEqualTo(900);
  }

  /** Guards against a division by zero if all weights are zero. */
  @Test
  void selectsTheFirstServiceIfAllWeightsAreZero() {
    assertThat(route("r", "a", "/", new ServiceShare("s", 0)).selectService(17)).isEqualTo("s");
  }

  /** A request with an unknown key must not be accepted as a request of some team. */
  @Test
  void unknownKeyHasNoTeam() {
    assertThat(config().findTeam("k").map(Team::name)).contains("t");
    assertThat(config().findTeam("other")).isEmpty();
  }
}
