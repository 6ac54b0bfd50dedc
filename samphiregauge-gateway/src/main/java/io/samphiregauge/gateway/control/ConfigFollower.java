package io.samphiregauge.gateway.control;

import io.samphiregauge.core.result.Failure;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.core.site.SiteConfig;
import io.samphiregauge.gateway.Moment;
import io.samphiregauge.gateway.port.SharedStore;
import io.samphiregauge.gateway.port.SiteReader;
import io.samphiregauge.gateway.port.StoreRecord;
import io.samphiregauge.gateway.port.Topic;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.Optional;

/** Follows the configuration. Runs on the control thread. */
final class ConfigFollower {
  private static final Logger LOG = System.getLogger(ConfigFollower.class.getName());

  /** Longest wait for a change of the configuration; a connection that fell silent shows by it. */
  private static final int MAX_CONFIG_WAIT_MS = 2_000;

  /** Keys count as current from the start of a read, so several reads must fit into their time. */
  private static final double READS_PER_REVOCATION = 2.5;

  private final SiteReader reader;
  private final Runnable changed;
  private final TopicFollower configs;
  private Optional<SiteConfig> config = Optional.empty();
  private Moment configAsOf = Moment.NEVER;

  /**
   * Prepares to follow.
   *
   * @param control the control thread
   * @param store the store
   * @param reader decodes what is followed
   * @param revocationMs time for which a withdrawn key may still work
   * @param changed runs when there is something to publish
   */
  ConfigFollower(
      ControlThread control,
      SharedStore store,
      SiteReader reader,
      int revocationMs,
      Runnable changed) {
    this.reader = reader;
    this.changed = changed;
    this.configs =
        new TopicFollower(
            control,
            store,
            Topic.CONFIG,
            new TopicFollower.Pace(
                (int) Math.min(MAX_CONFIG_WAIT_MS, revocationMs / READS_PER_REVOCATION), () -> 0),
            this::takeConfigs,
            this::takeConfigs);
  }

  void start() {
    configs.start();
  }

  Optional<SiteConfig> config() {
    return config;
  }

  Moment configAsOf() {
    return configAsOf;
  }

  private void takeConfigs(List<StoreRecord> records, Moment asked) {
    for (StoreRecord entry : records) {
      if (entry.key().equals(reader.configKey())) {
        entry.value().ifPresent(this::takeConfig);
      }
    }
    configAsOf = asked;
    changed.run();
  }

  private void takeConfig(byte[] bytes) {
    Result<SiteConfig> decoded = reader.config().apply(bytes);
    decoded.failure().ifPresent(failure -> warn("config_unreadable", reader.configKey(), failure));
    decoded
        .value()
        .filter(next -> next.version() > config.map(SiteConfig::version).orElse(Long.MIN_VALUE))
        .ifPresent(
            next -> {
              LOG.log(
                  Level.INFO,
                  "event=config_applied version={0} previous={1} routes={2}",
                  Long.toString(next.version()),
                  config.map(last -> Long.toString(last.version())).orElse("-"),
                  Integer.toString(next.routeCount()));
              config = Optional.of(next);
            });
  }

  private static void warn(String event, String key, Failure failure) {
    LOG.log(
        Level.WARNING,
        "event=" + event + " key=" + key + " cause=" + failure.type() + " " + failure.message());
  }
}
