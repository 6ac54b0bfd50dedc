package io.samphiregauge.gateway.control;

import io.samphiregauge.core.backend.BackendBook;
import io.samphiregauge.core.backend.BackendServer;
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
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Follows the configuration and the announcements of backend servers. Runs on the control thread.
 */
final class SiteFollower {
  private static final Logger LOG = System.getLogger(SiteFollower.class.getName());

  /** Longest wait for a change of the configuration; a connection that fell silent shows by it. */
  private static final int MAX_CONFIG_WAIT_MS = 2_000;

  /** Keys count as current from the start of a read, so several reads must fit into their time. */
  private static final double READS_PER_REVOCATION = 2.5;

  /**
   * Part of the time for which a draining server may still get work after which the announcements
   * are read again. A read that waits would be ended by the next heartbeat, and each one is paid
   * for.
   */
  private static final double DRAIN_SHARE = 0.42;

  /**
   * Part of that time for which a server stays usable whose announcement is gone. The removal is
   * seen up to one read late, and a request needs time to reach the server.
   */
  private static final double LAPSE_SHARE = 0.25;

  private final ControlThread control;
  private final SiteReader reader;
  private final BackendBook book;
  private final Runnable changed;
  private final TopicFollower configs;
  private final TopicFollower backends;
  private Optional<SiteConfig> config = Optional.empty();
  private Moment configAsOf = Moment.NEVER;
  private List<BackendServer> servers = List.of();
  private long serversVersion;
  private boolean serversKnown;

  /**
   * Prepares to follow.
   *
   * @param control the control thread
   * @param store the store
   * @param reader decodes what is followed
   * @param drainMs time for which a leaving server may still get work
   * @param revocationMs time for which a withdrawn key may still work
   * @param changed runs when there is something to publish
   */
  SiteFollower(
      ControlThread control,
      SharedStore store,
      SiteReader reader,
      int drainMs,
      int revocationMs,
      Runnable changed) {
    this.reader = reader;
    this.control = control;
    this.book = new BackendBook((long) (drainMs * LAPSE_SHARE));
    this.changed = changed;
    this.configs =
        new TopicFollower(
            control,
            store,
            Topic.CONFIG,
            new TopicFollower.Pace(
                (int) Math.min(MAX_CONFIG_WAIT_MS, revocationMs / READS_PER_REVOCATION), 0),
            this::takeConfigs,
            this::takeConfigs);
    this.backends =
        new TopicFollower(
            control,
            store,
            Topic.BACKENDS,
            new TopicFollower.Pace(0, (long) (drainMs * DRAIN_SHARE)),
            this::replaceBackends,
            this::takeBackends);
  }

  void start() {
    configs.start();
    backends.start();
  }

  void stop() {
    configs.stop();
    backends.stop();
  }

  Optional<SiteConfig> config() {
    return config;
  }

  Moment configAsOf() {
    return configAsOf;
  }

  List<BackendServer> servers() {
    return servers;
  }

  long serversVersion() {
    return serversVersion;
  }

  boolean serversKnown() {
    return serversKnown;
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

  private void replaceBackends(List<StoreRecord> records, Moment asked) {
    Map<String, BackendServer> all = new HashMap<>();
    for (StoreRecord entry : records) {
      decode(entry).ifPresent(server -> all.put(entry.key(), server));
    }
    boolean different = book.replace(all, asked.monotonicMs());
    serversKnown = true;
    publish(different);
  }

  private void takeBackends(List<StoreRecord> records, Moment asked) {
    boolean different = false;
    for (StoreRecord entry : records) {
      different |= book.announce(entry.key(), decode(entry), asked.monotonicMs());
    }
    publish(different);
  }

  private void publish(boolean different) {
    if (!different) {
      return;
    }
    book.nextExpiryMs()
        .ifPresent(
            atMs ->
                control.after(
                    Math.max(0, atMs - Moment.now().monotonicMs()),
                    () -> publish(book.expire(Moment.now().monotonicMs()))));
    List<BackendServer> next = book.usable();
    if (!next.equals(servers)) {
      logDifference(servers, next);
      servers = next;
      serversVersion++;
      changed.run();
    }
  }

  private static void logDifference(List<BackendServer> last, List<BackendServer> next) {
    next.stream()
        .filter(server -> !last.contains(server))
        .forEach(server -> logServer("backend_usable", server));
    last.stream()
        .filter(server -> !next.contains(server))
        .forEach(server -> logServer("backend_unusable", server));
  }

  private static void logServer(String event, BackendServer server) {
    LOG.log(
        Level.INFO,
        "event={0} backend={1} service={2} address={3} domain={4} stage={5}",
        event,
        server.incarnation(),
        server.service(),
        server.address(),
        server.domain(),
        server.stage().map(Enum::name).orElse("-"));
  }

  /** A key whose record is removed or cannot be used names no server. */
  private Optional<BackendServer> decode(StoreRecord entry) {
    return entry
        .value()
        .flatMap(
            bytes -> {
              Result<BackendServer> decoded = reader.backend().apply(entry.key(), bytes);
              decoded
                  .failure()
                  .ifPresent(failure -> warn("backend_unreadable", entry.key(), failure));
              return decoded.value();
            });
  }

  private static void warn(String event, String key, Failure failure) {
    LOG.log(
        Level.WARNING,
        "event=" + event + " key=" + key + " cause=" + failure.type() + " " + failure.message());
  }
}
