package io.samphiregauge.gateway.control;

import io.samphiregauge.core.result.Failure;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.core.site.SiteConfig;
import io.samphiregauge.gateway.DualTimestamp;
import io.samphiregauge.gateway.port.SharedStore;
import io.samphiregauge.gateway.port.StoreRecord;
import io.samphiregauge.gateway.port.StoreValueDecoder;
import io.samphiregauge.gateway.port.Topic;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.Optional;

/**
 * Follows the configuration in the store and provides its newest readable version. Runs on the
 * control thread.
 */
final class ConfigFollower {
  private static final Logger LOG = System.getLogger(ConfigFollower.class.getName());

  /**
   * Maximum time of a long poll for a changed configuration. It also limits the time until a
   * connection that no longer delivers data is detected.
   */
  private static final int MAX_CONFIG_WAIT_MS = 2_000;

  /**
   * Number of reads within the time for which a revoked key may still work. The result of a read
   * shows the keys as of the start of the read, so a single read within that time would not be
   * enough.
   */
  private static final double READS_PER_REVOCATION_TIME = 2.5;

  private final StoreValueDecoder valueDecoder;
  private final Runnable onRead;
  private final TopicFollower topicFollower;
  private Optional<SiteConfig> config = Optional.empty();

  /** Time as of which {@link #config} is known to be the newest configuration. */
  private DualTimestamp configAsOf = DualTimestamp.NEVER;

  /**
   * Creates a follower that does not read the store before {@link #start}.
   *
   * @param control the control thread
   * @param store the store
   * @param valueDecoder decodes configurations
   * @param revocationMs time for which a revoked key may still work, in milliseconds
   * @param onRead called after the records of each snapshot or change have been applied, even if
   *     the configuration is the same
   */
  ConfigFollower(
      ControlThread control,
      SharedStore store,
      StoreValueDecoder valueDecoder,
      int revocationMs,
      Runnable onRead) {
    this.valueDecoder = valueDecoder;
    this.onRead = onRead;
    this.topicFollower =
        new TopicFollower(
            control,
            store,
            Topic.CONFIG,
            new TopicFollower.PollTiming(
                (int) Math.min(MAX_CONFIG_WAIT_MS, revocationMs / READS_PER_REVOCATION_TIME),
                () -> 0),
            this::onRecords,
            this::onRecords);
  }

  void start() {
    topicFollower.start();
  }

  Optional<SiteConfig> config() {
    return config;
  }

  DualTimestamp configAsOf() {
    return configAsOf;
  }

  private void onRecords(List<StoreRecord> records, DualTimestamp requestedAt) {
    for (StoreRecord record : records) {
      if (record.key().equals(valueDecoder.configKey())) {
        record.value().ifPresent(this::applyConfig);
      }
    }
    configAsOf = requestedAt;
    onRead.run();
  }

  private void applyConfig(byte[] bytes) {
    Result<SiteConfig> decoded = valueDecoder.configDecoder().apply(bytes);
    decoded
        .failure()
        .ifPresent(failure -> warn("config_unreadable", valueDecoder.configKey(), failure));
    decoded
        .value()
        .filter(
            candidate ->
                candidate.version() > config.map(SiteConfig::version).orElse(Long.MIN_VALUE))
        .ifPresent(
            next -> {
              LOG.log(
                  Level.INFO,
                  "event=config_applied version={0} previous={1} routes={2}",
                  Long.toString(next.version()),
                  config.map(previous -> Long.toString(previous.version())).orElse("-"),
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
