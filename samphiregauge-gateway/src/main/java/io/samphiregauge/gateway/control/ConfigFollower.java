package io.samphiregauge.gateway.control;

import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.result.Failure;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.core.site.SiteConfig;
import io.samphiregauge.gateway.port.SharedStore;
import io.samphiregauge.gateway.port.StoreRecord;
import io.samphiregauge.gateway.port.StoreValueDecoder;
import io.samphiregauge.gateway.port.Topic;
import io.samphiregauge.schema.peer.ConfigCopy;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;

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

  /**
   * As above, while other entries rely on the age of the configuration that this entry knows. Just
   * before the end of a read, the known age is twice its duration; with the time between two
   * queries it must stay below the age at which those entries read the store themselves.
   */
  private static final double READS_PER_REVOCATION_TIME_IF_QUERIED = 6.5;

  /**
   * Age of the configuration, as a fraction of the time for which a revoked key may still work, at
   * which an entry whose reader does not confirm it reads the store.
   */
  private static final double MAX_AGE_SHARE = 0.5;

  /** Time after which the store is read if the reader has sent no copy. */
  private static final long COPY_WAIT_MS = 300;

  /** Version in replies of an entry that knows no configuration. */
  private static final long NO_VERSION = -1;

  private final ControlThread control;
  private final SharedStore store;
  private final long revocationMs;
  private final StoreValueDecoder valueDecoder;
  private final Runnable onRead;
  private final TopicFollower topicFollower;
  private boolean followsStore;
  private boolean readPending;
  private Optional<byte[]> configBytes = Optional.empty();
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
   * @param queried returns whether other entries query this one
   * @param onRead called after the records of each snapshot or change have been applied, even if
   *     the configuration is the same
   */
  ConfigFollower(
      ControlThread control,
      SharedStore store,
      StoreValueDecoder valueDecoder,
      long revocationMs,
      BooleanSupplier queried,
      Runnable onRead) {
    this.control = control;
    this.store = store;
    this.revocationMs = revocationMs;
    this.valueDecoder = valueDecoder;
    this.onRead = onRead;
    this.topicFollower =
        new TopicFollower(
            control,
            store,
            Topic.CONFIG,
            new TopicFollower.PollTiming(
                () -> waitMs(revocationMs, queried.getAsBoolean()), () -> 0),
            this::onRecords,
            this::onRecords);
  }

  private static int waitMs(long revocationMs, boolean queried) {
    double reads = queried ? READS_PER_REVOCATION_TIME_IF_QUERIED : READS_PER_REVOCATION_TIME;
    return (int) Math.min(MAX_CONFIG_WAIT_MS, revocationMs / reads);
  }

  void start() {
    followStore();
  }

  private void followStore() {
    if (!followsStore) {
      followsStore = true;
      LOG.log(Level.INFO, "event=config_from_store");
      topicFollower.start();
    }
  }

  /**
   * Reads the store if no reader can be queried or its last confirmation is too old.
   *
   * @param hasReader whether another entry reads the store for this one
   */
  void readStoreIfNeeded(boolean hasReader) {
    if (!hasReader || DualTimestamp.now().millisSince(configAsOf) > revocationMs * MAX_AGE_SHARE) {
      followStore();
    }
  }

  /**
   * Handles what a reader knows. If its version is the known one, the store need not be read. A
   * newer version is copied from the reader, or read once from the store if that sends no copy.
   *
   * @param version version that the reader knows
   * @param asOf time as of which that version is the newest
   * @param copyRequester asks the reader for a copy; false if it cannot send one
   */
  void confirm(long version, DualTimestamp asOf, BooleanSupplier copyRequester) {
    if (version != version()) {
      if (version > version()) {
        getNewer(version, copyRequester);
      }
      return;
    }
    boolean recent = DualTimestamp.now().millisSince(asOf) <= revocationMs * MAX_AGE_SHARE;
    if (version == NO_VERSION || !recent) {
      return;
    }
    if (followsStore) {
      followsStore = false;
      LOG.log(Level.INFO, "event=config_confirmed_by_reader version=" + version);
      topicFollower.stop();
    }
    if (asOf.monotonicMs() > configAsOf.monotonicMs()) {
      configAsOf = asOf;
      onRead.run();
    }
  }

  private void getNewer(long version, BooleanSupplier copyRequester) {
    if (!copyRequester.getAsBoolean()) {
      readOnce();
      return;
    }
    control.schedule(
        COPY_WAIT_MS,
        () -> {
          if (version > version()) {
            readOnce();
          }
        });
  }

  /**
   * Returns a copy of the configuration for another entry.
   *
   * @param knownVersion version that the other entry knows
   * @param maxBytes largest copy
   * @return the copy; empty if it is not newer, too large or unknown
   */
  Optional<ConfigCopy> copyFor(long knownVersion, long maxBytes) {
    return configBytes
        .filter(bytes -> version() > knownVersion && bytes.length <= maxBytes)
        .map(bytes -> new ConfigCopy(Base64.getEncoder().encodeToString(bytes)));
  }

  /**
   * Applies a copy. It is not known as of when it is the newest; the next reply of the reader
   * tells.
   */
  void applyCopy(ConfigCopy copy) {
    applyConfig(Base64.getDecoder().decode(copy.getValue()));
    onRead.run();
  }

  /** Reads the configuration once; the reader still tells when it changes. */
  private void readOnce() {
    if (followsStore || readPending) {
      return;
    }
    readPending = true;
    DualTimestamp requestedAt = DualTimestamp.now();
    control.onResult(
        store.snapshotReader().read(Topic.CONFIG),
        result -> {
          readPending = false;
          result.fold(
              page -> {
                onRecords(page.records(), requestedAt);
                return true;
              },
              // The next reply of the reader leads to the next attempt.
              failure -> false);
        });
  }

  /** Returns the version of the known configuration, -1 without one. */
  long version() {
    return config.map(SiteConfig::version).orElse(NO_VERSION);
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
              configBytes = Optional.of(bytes);
            });
  }

  private static void warn(String event, String key, Failure failure) {
    LOG.log(
        Level.WARNING,
        "event=" + event + " key=" + key + " cause=" + failure.type() + " " + failure.message());
  }
}
